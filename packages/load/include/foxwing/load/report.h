/*
    Writes a summary as a table, as JSON or as a plot.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/load/summary.h>
#include <json/json.h>

namespace foxwing::load {

// [SECTION] Functions

std::string writeTable(const Summary &summary);
Json::Value writeSummary(const Summary &summary);

// An SVG plot: the cumulative distribution of the slowdowns of each class.
std::string writePlot(const Summary &summary);

} // namespace foxwing::load
