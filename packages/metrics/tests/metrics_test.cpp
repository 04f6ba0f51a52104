/*
    Tests of histograms, of their limits and of the text format.

    [SECTION] Tests
*/
#include <foxwing/metrics/metrics.h>

#include <gtest/gtest.h>

namespace foxwing::metrics {
namespace {

// [SECTION] Tests

TEST(Metrics, QuantilesAndBucketsAgreeWithTheValues)
{
    Metrics metrics;
    for (int value = 1; value <= 1000; ++value)
        observe(metrics, "response_ms", { "a", "align" }, value);
    const Histogram &histogram = metrics.histograms.at("response_ms").at({ "a", "align" });
    EXPECT_NEAR(quantile(histogram, 0.5), 500, 20);
    EXPECT_NEAR(quantile(histogram, 0.99), 990, 20);
    const std::string text = writeExposition(metrics, { { "starts_total", "Starts", 7, false } });
    EXPECT_NE(text.find("response_ms_bucket{team=\"a\",class=\"align\",le=\"100\"} 100\n"),
              std::string::npos)
            << text;
    EXPECT_NE(text.find("response_ms_bucket{team=\"a\",class=\"align\",le=\"+Inf\"} 1000\n"),
              std::string::npos);
    EXPECT_NE(text.find("# TYPE starts_total counter\nstarts_total 7\n"), std::string::npos);
}

TEST(Metrics, SeriesAreLimited)
{
    Metrics metrics;
    for (std::size_t i = 0; i < MaxSeries * 2; ++i)
        observe(metrics, "response_ms", { "a", "class " + std::to_string(i) }, 1);
    EXPECT_LE(metrics.histograms.at("response_ms").size(), MaxSeries + 1);
    EXPECT_EQ(metrics.histograms.at("response_ms").at({ "a", "other" }).buckets[0], MaxSeries);
}

TEST(Metrics, SeriesOfOneNameAreDescribedOnce)
{
    const std::string text = writeExposition({},
                                             { { "slots{service=\"a\"}", "Slots", 1, true },
                                               { "slots{service=\"b\"}", "Slots", 2, true } });
    EXPECT_EQ(text,
              "# HELP slots Slots\n# TYPE slots gauge\nslots{service=\"a\"} 1\n"
              "slots{service=\"b\"} 2\n");
}

TEST(Metrics, LabelsAreEscaped)
{
    EXPECT_EQ(labelled("slots", "queue", "a"), "slots{queue=\"a\"}");
    EXPECT_EQ(labelled("slots", "queue", "x\"} 1\ny"), "slots{queue=\"x\\\"} 1\\ny\"}");
    Metrics metrics;
    observe(metrics, "response_ms", { "a", "x\"} 1\ny" }, 1);
    EXPECT_NE(writeExposition(metrics, {}).find("class=\"x\\\"} 1\\ny\""), std::string::npos);
}

} // namespace
} // namespace foxwing::metrics
