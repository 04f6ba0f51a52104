/*
    Histograms and the text format.

    [SECTION] Histograms
    [SECTION] Text
*/
#include <foxwing/metrics/metrics.h>

#include <algorithm>
#include <sstream>

namespace foxwing::metrics {

// [SECTION] Histograms

namespace {

// The P-square algorithm has markers for each quantile and between them; its estimate is 0 until
// all of them have a value.
constexpr std::uint64_t MinQuantileCount = 10;

constexpr std::array<double, 3> Probabilities { 0.5, 0.95, 0.99 };

} // namespace

Histogram::Histogram()
    : values(accumulators::extended_p_square_probabilities = Probabilities)
{ }

void observe(Metrics &metrics, const std::string &name, const Labels &labels, double value)
{
    std::map<Labels, Histogram> &series = metrics.histograms[name];
    const bool limitReached = series.size() >= MaxSeries && series.find(labels) == series.end();
    Histogram &histogram = series[limitReached ? Labels { labels.team, "other" } : labels];
    const auto bucket = std::lower_bound(BucketBounds.begin(), BucketBounds.end(), value);
    ++histogram.buckets[static_cast<std::size_t>(bucket - BucketBounds.begin())];
    histogram.values(value);
}

double quantile(const Histogram &histogram, double probability)
{
    return accumulators::quantile(histogram.values,
                                  accumulators::quantile_probability = probability);
}

// [SECTION] Text

namespace {

std::string escape(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '"' || c == '\\')
            escaped.push_back('\\');
        escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return escaped;
}

} // namespace

std::string labelled(const std::string &name, const std::string &label, const std::string &value)
{
    return name + "{" + label + "=\"" + escape(value) + "\"}";
}

namespace {

std::string labelText(const Labels &labels)
{
    return "team=\"" + escape(labels.team) + "\",class=\"" + escape(labels.workClass) + "\"";
}

void writeSeries(std::ostringstream &out, const std::string &name, const Labels &labels,
                 const Histogram &histogram)
{
    const std::string text = labelText(labels);
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < histogram.buckets.size(); ++i) {
        total += histogram.buckets[i];
        out << name << "_bucket{" << text << ",le=\"";
        if (i < BucketBounds.size())
            out << BucketBounds[i];
        else
            out << "+Inf";
        out << "\"} " << total << "\n";
    }
    out << name << "_sum{" << text << "} " << accumulators::sum(histogram.values) << "\n";
    out << name << "_count{" << text << "} " << total << "\n";
    if (total < MinQuantileCount)
        return;
    for (const double probability : Probabilities)
        out << name << "_quantile{" << text << ",quantile=\"" << probability << "\"} "
            << quantile(histogram, probability) << "\n";
}

} // namespace

std::string writeExposition(const Metrics &metrics, const std::vector<Sample> &samples)
{
    std::ostringstream out;
    std::string lastName;
    for (const Sample &sample : samples) {
        // The header lines are written once for adjacent samples of one name.
        const std::string name = sample.name.substr(0, sample.name.find('{'));
        if (name != lastName) {
            out << "# HELP " << name << " " << sample.help << "\n";
            out << "# TYPE " << name << (sample.gauge ? " gauge\n" : " counter\n");
        }
        lastName = name;
        out << sample.name << " " << sample.value << "\n";
    }
    for (const auto &histogram : metrics.histograms) {
        out << "# TYPE " << histogram.first << " histogram\n";
        for (const auto &series : histogram.second)
            writeSeries(out, histogram.first, series.first, series.second);
    }
    return out.str();
}

} // namespace foxwing::metrics
