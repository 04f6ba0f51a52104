/*
    Reads experiments from TOML.

    [SECTION] Mixes
    [SECTION] Function
*/
#include <foxwing/load/experiment.h>

#include <fstream>
#include <sstream>

#include <foxwing/settings/tomlreader.h>

namespace foxwing::load {

namespace {

// [SECTION] Mixes

constexpr double MaxRate = 1e6;

void readDistribution(settings::TomlReader &table, Distribution &distribution)
{
    std::string name = "fixed";
    table.text("spread", name);
    if (name == "fixed")
        distribution = Distribution::Fixed;
    else if (name == "uniform")
        distribution = Distribution::Uniform;
    else if (name == "lognormal")
        distribution = Distribution::LogNormal;
    else if (name == "bimodal")
        distribution = Distribution::Bimodal;
    else
        table.refuse("spread", "must be fixed, uniform, lognormal or bimodal");
}

Mix readMix(settings::TomlReader &table)
{
    Mix mix;
    table.text("class", mix.workClass);
    table.text("service", mix.service);
    table.text("token", mix.token);
    table.number("rate", mix.rate, 0.001, MaxRate);
    table.integer("fewest_tasks", mix.minTasks, 1, 10000);
    mix.maxTasks = mix.minTasks;
    table.integer("most_tasks", mix.maxTasks, mix.minTasks, 10000);
    table.duration("mean", mix.mean);
    readDistribution(table, mix.distribution);
    table.number("declared_wrong", mix.estimateErrorFactor, 0, 100);
    table.duration("deadline", mix.deadline);
    table.boolean("request", mix.request);
    table.boolean("repeatable", mix.repeatable);
    if (mix.service.empty() || mix.token.empty())
        table.refuse("service", "and \"token\" must be set for each mix");
    if (mix.request && mix.maxTasks > 1)
        table.refuse("request", "has one task; leave \"fewest_tasks\" and \"most_tasks\" out");
    table.finish();
    return mix;
}

} // namespace

// [SECTION] Function

std::optional<Experiment> readExperiment(const std::string &path, Error *reason)
{
    *reason = Error {};
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return fail(reason, ErrorKind::NotFound,
                    path + ": can't be read; give the path of an existing file");
    std::optional<toml::table> document = settings::parseToml(text.str(), path, reason);
    if (!document)
        return std::nullopt;
    Experiment experiment;
    settings::TomlReader root(std::move(*document), path, reason);
    root.list("urls", experiment.urls);
    root.boolean("follow_ready", experiment.followReady);
    root.list("metrics_urls", experiment.metricsUrls);
    root.text("baseline_url", experiment.baselineUrl);
    root.integer("seed", experiment.seed, 0, INT64_MAX);
    root.duration("duration", experiment.duration);
    root.duration("warm_up", experiment.warmUp);
    root.duration("burst_every", experiment.burstEvery);
    root.duration("burst_length", experiment.burstLength);
    root.number("burst_factor", experiment.burstFactor, 0, 1000);
    root.number("resubmit_share", experiment.resubmitShare, 0, 1);
    root.number("cancel_share", experiment.cancelShare, 0, 1);
    root.duration("drain", experiment.drain);
    root.text("trace", experiment.traceFile);
    for (settings::TomlReader &table : root.tables("mix"))
        experiment.mixes.push_back(readMix(table));
    if (experiment.urls.empty())
        root.refuse("urls", "must name at least one entry");
    if (experiment.mixes.empty())
        root.refuse("mix", "must be given at least once, as [[mix]]");
    if (!root.finish())
        return std::nullopt;
    return experiment;
}

} // namespace foxwing::load
