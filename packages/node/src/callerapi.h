/*
    The interface for callers: JSON in and out, without any socket.

    [SECTION] Requests
    [SECTION] Replies
*/
#pragma once

#include <string>

#include <foxwing/entry/entry.h>

namespace foxwing::node {

// [SECTION] Requests

// Reads the body of a job (POST /v1/jobs) or of a single request (POST /v1/requests).
std::optional<entry::SubmitRequest> readSubmission(const std::string &body, bool request,
                                                   Error *reason);

// Reads a span in milliseconds from a query parameter; fallback if it is empty.
std::optional<Milliseconds> readWait(const std::string &text, Milliseconds fallback, Error *reason);

// [SECTION] Replies

// The HTTP status for an answer.
int answerStatus(const dispatch::Answer &answer);

// The body for an answer.
std::string answerBody(const std::string &submission, const dispatch::Answer &answer);

// The body for an error.
std::string errorBody(const Error &error);

} // namespace foxwing::node
