/*
    Tables, JSON and plots.

    [SECTION] Table
    [SECTION] JSON
    [SECTION] Plot
*/
#include <foxwing/load/report.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace foxwing::load {

// [SECTION] Table

namespace {

std::string tableRow(const std::string &name, const ClassSummary &summary)
{
    char text[256];
    std::snprintf(text, sizeof text, "%-16s %9zu %7zu %7zu %7zu %9.1f %8.3f %8.3f %8.3f %8.3f\n",
                  name.c_str(), summary.complete, summary.failed, summary.notRun, summary.unknown,
                  summary.responseMs.p50, summary.slowdown.p50, summary.slowdown.p95,
                  summary.slowdown.p99, summary.meanSlowdown);
    return text;
}

double perTask(double count, double starts)
{
    return starts > 0 ? count / starts : 0;
}

} // namespace

std::string writeTable(const Summary &summary)
{
    char header[256];
    std::snprintf(header, sizeof header, "%-16s %9s %7s %7s %7s %9s %8s %8s %8s %8s\n", "class",
                  "complete", "failed", "not run", "unknown", "p50 ms", "p50/id", "p95/id",
                  "p99/id", "mean/id");
    std::ostringstream out;
    out << header;
    for (const auto &entry : summary.classes)
        out << tableRow(entry.first, entry.second);
    out << tableRow("all", summary.all);
    const double seconds = std::max(toMilliseconds(summary.elapsed) / 1000, 0.001);
    char footer[512];
    std::snprintf(footer, sizeof footer,
                  "starts %.0f (%.0f/s), messages a task %.2f, wasted a task %.3f\n"
                  "unanswered %zu, wrong answers %zu\n",
                  summary.starts, summary.starts / seconds,
                  perTask(summary.messages, summary.starts),
                  perTask(summary.wastedMessages, summary.starts), summary.unanswered,
                  summary.violations.size());
    out << footer;
    if (summary.baselineMs > 0) {
        std::snprintf(footer, sizeof footer,
                      "direct calls: p50 %.2f ms; through foxwing: %.3f of that\n",
                      summary.baselineMs, summary.all.responseMs.p50 / summary.baselineMs);
        out << footer;
    }
    for (const auto &error : summary.errors)
        out << "error " << error.first << ": " << error.second << "\n";
    for (const std::string &violation : summary.violations)
        out << "WRONG: " << violation << "\n";
    return out.str();
}

// [SECTION] JSON

namespace {

Json::Value quantilesJson(const Quantiles &quantiles)
{
    Json::Value json(Json::objectValue);
    json["p50"] = quantiles.p50;
    json["p95"] = quantiles.p95;
    json["p99"] = quantiles.p99;
    return json;
}

Json::Value classJson(const ClassSummary &summary)
{
    Json::Value json(Json::objectValue);
    json["complete"] = static_cast<Json::UInt64>(summary.complete);
    json["failed"] = static_cast<Json::UInt64>(summary.failed);
    json["notRun"] = static_cast<Json::UInt64>(summary.notRun);
    json["unknown"] = static_cast<Json::UInt64>(summary.unknown);
    json["responseMs"] = quantilesJson(summary.responseMs);
    json["slowdown"] = quantilesJson(summary.slowdown);
    json["meanSlowdown"] = summary.meanSlowdown;
    return json;
}

} // namespace

Json::Value writeSummary(const Summary &summary)
{
    Json::Value json(Json::objectValue);
    for (const auto &entry : summary.classes)
        json["classes"][entry.first] = classJson(entry.second);
    json["all"] = classJson(summary.all);
    json["starts"] = summary.starts;
    json["messagesPerTask"] = perTask(summary.messages, summary.starts);
    json["wastedMessagesPerTask"] = perTask(summary.wastedMessages, summary.starts);
    json["startsPerSecond"] = summary.starts
            / std::max(toMilliseconds(summary.elapsed) / 1000, 0.001);
    json["unanswered"] = static_cast<Json::UInt64>(summary.unanswered);
    json["baselineMs"] = summary.baselineMs;
    for (const auto &error : summary.errors)
        json["errors"][error.first] = static_cast<Json::UInt64>(error.second);
    json["wrong"] = Json::Value(Json::arrayValue);
    for (const std::string &violation : summary.violations)
        json["wrong"].append(violation);
    return json;
}

// [SECTION] Plot

namespace {

constexpr double PlotWidth = 640;
constexpr double PlotHeight = 360;
constexpr double PlotMargin = 50;
constexpr double MaxSlowdown = 100;
constexpr std::array<const char *, 6> Colors { "#1b6ca8", "#c0392b", "#1e8449",
                                               "#8e44ad", "#b9770e", "#34495e" };

// Slowdowns from 1 to the highest, on a logarithmic axis.
double plotX(double slowdown)
{
    const double share = std::log(std::clamp(slowdown, 1.0, MaxSlowdown)) / std::log(MaxSlowdown);
    return PlotMargin + share * (PlotWidth - 2 * PlotMargin);
}

double plotY(double share)
{
    return PlotHeight - PlotMargin - share * (PlotHeight - 2 * PlotMargin);
}

void writeAxes(std::ostringstream &out)
{
    for (const double slowdown : { 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0 })
        out << "<line x1='" << plotX(slowdown) << "' x2='" << plotX(slowdown) << "' y1='"
            << plotY(0) << "' y2='" << plotY(1) << "' stroke='#ddd'/><text x='" << plotX(slowdown)
            << "' y='" << plotY(0) + 18 << "' text-anchor='middle'>" << slowdown << "</text>\n";
    for (const double share : { 0.0, 0.5, 0.9, 1.0 })
        out << "<line x1='" << plotX(1) << "' x2='" << plotX(MaxSlowdown) << "' y1='"
            << plotY(share) << "' y2='" << plotY(share) << "' stroke='#ddd'/><text x='"
            << plotX(1) - 6 << "' y='" << plotY(share) + 4 << "' text-anchor='end'>" << share
            << "</text>\n";
    out << "<text x='" << PlotWidth / 2 << "' y='" << PlotHeight - 12
        << "' text-anchor='middle'>response / ideal</text>\n";
}

void writeClassCurve(std::ostringstream &out, const std::string &name, const ClassSummary &summary,
                     std::size_t number)
{
    constexpr int Steps = 200;
    const char *color = Colors[number % Colors.size()];
    out << "<polyline fill='none' stroke-width='1.6' stroke='" << color << "' points='";
    for (int i = 0; i <= Steps; ++i) {
        const double share = static_cast<double>(i) / Steps;
        out << plotX(quantileOf(summary.sortedSlowdowns, share)) << "," << plotY(share) << " ";
    }
    out << "'/>\n<text x='" << PlotWidth - PlotMargin - 8 << "' y='"
        << plotY(0) - 12 - 16 * static_cast<double>(number) << "' text-anchor='end' fill='" << color
        << "'>" << name << "</text>\n";
}

} // namespace

std::string writePlot(const Summary &summary)
{
    std::ostringstream out;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << PlotWidth << "' height='"
        << PlotHeight << "' font-family='sans-serif' font-size='12'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n";
    writeAxes(out);
    std::size_t number = 0;
    for (const auto &entry : summary.classes) {
        if (entry.second.complete > 0)
            writeClassCurve(out, entry.first, entry.second, number++);
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace foxwing::load
