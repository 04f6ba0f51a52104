/*
    JSON requests and replies of the callers' API, independent of HTTP.

    [SECTION] Requests
    [SECTION] Replies
*/
#pragma once

#include <string>

#include <foxwing/entry/entry.h>

namespace foxwing::node {

// [SECTION] Requests

// Parses the body of a job (POST /v1/jobs) or of a single request (POST /v1/requests).
std::optional<entry::SubmitRequest> parseSubmission(const std::string &body, bool isRequest,
                                                    Error *reason);

// Parses a query parameter in milliseconds; the fallback if it is empty.
std::optional<Milliseconds> parseWait(const std::string &text, Milliseconds fallback,
                                      Error *reason);

// [SECTION] Replies

int answerStatus(const dispatch::Answer &answer);
std::string answerBody(const std::string &submission, const dispatch::Answer &answer);
std::string errorBody(const Error &error);

} // namespace foxwing::node
