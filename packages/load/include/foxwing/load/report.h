/*
    A summary as a table, as JSON, and as a plot.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/load/summary.h>
#include <json/json.h>

namespace foxwing::load {

// [SECTION] Functions

std::string writeTable(const Summary &summary);
Json::Value writeSummary(const Summary &summary);

// An SVG picture: for each class, which share of submissions took at most how many times the ideal.
std::string writePlot(const Summary &summary);

} // namespace foxwing::load
