/*
    The load command: runs an experiment against a running system and reports the results.

    [SECTION] Run
    [SECTION] Measurements
    [SECTION] Command
*/
#include "commandline.h"

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>

#include <foxwing/base/codec.h>
#include <foxwing/base/submissionid.h>
#include <foxwing/load/plan.h>
#include <foxwing/load/report.h>

namespace foxwing::cli {

namespace {

using Clock = std::chrono::steady_clock;

// [SECTION] Run

Microseconds elapsedSince(Clock::time_point start)
{
    return std::chrono::duration_cast<Microseconds>(Clock::now() - start);
}

// Client-side load balancer: polls /readyz of each entry, as the platform's load balancer does.
class Balancer
{
public:
    Balancer(const std::vector<std::string> &urls, bool followReady)
        : m_ready(urls.size())
        , m_incarnations(urls.size())
    {
        for (std::atomic<bool> &ready : m_ready)
            ready = true;
        for (std::size_t i = 0; followReady && i < urls.size(); ++i)
            m_threads.emplace_back([this, i, url = urls[i]] { pollReadiness(i, url); });
    }

    ~Balancer()
    {
        m_stopping = true;
        for (std::thread &thread : m_threads)
            thread.join();
    }

    // The first ready entry, starting with the preferred one; the preferred one if none is ready.
    std::size_t pick(std::size_t preferred) const
    {
        for (std::size_t i = 0; i < m_ready.size(); ++i) {
            const std::size_t candidate = (preferred + i) % m_ready.size();
            if (m_ready[candidate])
                return candidate;
        }
        return preferred % m_ready.size();
    }

    // Counts how often an entry became ready again; connections to earlier incarnations are
    // unusable.
    int incarnation(std::size_t number) const { return m_incarnations[number]; }

private:
    void pollReadiness(std::size_t number, const std::string &url)
    {
        constexpr Milliseconds Interval { 200 };
        edge::HttpClientSettings settings;
        settings.timeout = Milliseconds(1000);
        edge::HttpClient client(url, settings);
        while (!m_stopping) {
            const bool ready = client.callAndWait("GET", "/readyz", {}, {}).status == 200;
            if (ready && !m_ready[number])
                ++m_incarnations[number];
            m_ready[number] = ready;
            std::this_thread::sleep_for(Interval);
        }
    }

    std::vector<std::atomic<bool>> m_ready;
    std::vector<std::atomic<int>> m_incarnations;
    std::atomic<bool> m_stopping { false };
    std::vector<std::thread> m_threads;
};

// Runs one experiment: sends the planned jobs and checks each answer.
class LoadRun
{
public:
    LoadRun(const load::Experiment &experiment, std::vector<load::PlannedJob> plan)
        : m_experiment(experiment)
        , m_plan(std::move(plan))
        , m_random(experiment.seed)
        , m_balancer(experiment.urls, experiment.followReady)
    {
        for (std::size_t i = 0; i < experiment.urls.size(); ++i)
            m_clients.push_back({});
    }

    load::Summary run()
    {
        const Clock::time_point start = Clock::now();
        for (std::size_t i = 0; i < m_plan.size(); ++i) {
            std::this_thread::sleep_until(start + m_plan[i].at);
            submit(i);
        }
        std::unique_lock<std::mutex> lock(m_mutex);
        m_idle.wait_for(lock, m_experiment.drain, [this] { return m_openCount == 0; });
        load::Summary summary = load::summarize(m_samples);
        summary.violations = m_violations;
        summary.unanswered = m_openCount;
        summary.elapsed = std::chrono::duration_cast<Milliseconds>(elapsedSince(start));
        return summary;
    }

    const std::string &outcomes() const { return m_outcomes; }

private:
    struct Client
    {
        int incarnation = -1;
        std::shared_ptr<edge::HttpClient> http;
    };

    // Called by the sending thread only.
    edge::HttpClient &client(std::size_t number)
    {
        Client &client = m_clients[number];
        const int incarnation = m_balancer.incarnation(number);
        if (client.incarnation == incarnation)
            return *client.http;
        if (client.http)
            m_previousClients.push_back(client.http); // may still receive answers
        edge::HttpClientSettings settings;
        settings.timeout = Milliseconds(300000);
        client.incarnation = incarnation;
        client.http = std::make_shared<edge::HttpClient>(m_experiment.urls[number], settings);
        return *client.http;
    }

    struct SentRequest
    {
        std::size_t job = 0;
        std::string id;
        std::size_t client = 0;
        Clock::time_point at;
        bool resubmitted = false;
    };

    // The result that this task must return.
    static std::string expectedEcho(std::size_t job, std::size_t task)
    {
        return "job " + std::to_string(job) + " task " + std::to_string(task);
    }

    std::string makeBody(std::size_t number, const std::string &id) const
    {
        const load::PlannedJob &job = m_plan[number];
        const load::Mix &mix = m_experiment.mixes[job.mix];
        Json::Value body(Json::objectValue);
        body["service"] = mix.service;
        body["class"] = mix.workClass;
        body["deadlineMs"] = static_cast<Json::Int64>(mix.deadline.count());
        body["repeatable"] = mix.repeatable;
        if (job.estimate.count() > 0)
            body["declaredMs"] = static_cast<Json::Int64>(job.estimate.count());
        if (!id.empty())
            body["submission"] = id;
        Json::Value tasks(Json::arrayValue);
        for (std::size_t i = 0; i < job.tasks.size(); ++i) {
            Json::Value payload(Json::objectValue);
            payload["sleepMs"] = static_cast<Json::Int64>(job.tasks[i].count());
            payload["echo"] = expectedEcho(number, i);
            tasks.append(payload);
        }
        if (mix.request)
            body["payload"] = tasks[0];
        else
            body["tasks"] = tasks;
        return writeJson(body);
    }

    void submit(std::size_t number)
    {
        const load::PlannedJob &job = m_plan[number];
        const load::Mix &mix = m_experiment.mixes[job.mix];
        const auto wall = std::chrono::time_point_cast<Milliseconds>(
                std::chrono::system_clock::now());
        const bool needsId = !mix.request || job.resubmit || job.cancel;
        const std::string id = needsId ? makeSubmissionId(wall, m_random) : std::string();
        send({ number, id, m_balancer.pick(number), Clock::now(), false });
        if (job.resubmit)
            send({ number, id, m_balancer.pick(number + 1), Clock::now(), true });
        if (job.cancel)
            cancel(id, number);
    }

    void send(const SentRequest &sent)
    {
        const load::Mix &mix = m_experiment.mixes[m_plan[sent.job].mix];
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_openCount;
        }
        client(sent.client)
                .call("POST", mix.request ? "/v1/requests" : "/v1/jobs",
                      makeBody(sent.job, sent.id), { { "Authorization", "Bearer " + mix.token } },
                      [this, sent](edge::HttpReply &&reply) { handleReply(sent, reply); });
    }

    void cancel(const std::string &id, std::size_t number)
    {
        const load::Mix &mix = m_experiment.mixes[m_plan[number].mix];
        client(m_balancer.pick(number))
                .call("DELETE", "/v1/jobs/" + id, {},
                      { { "Authorization", "Bearer " + mix.token } }, [](edge::HttpReply &&) {});
    }

    void handleReply(const SentRequest &sent, const edge::HttpReply &reply)
    {
        const load::PlannedJob &job = m_plan[sent.job];
        load::Sample sample;
        sample.workClass = m_experiment.mixes[job.mix].workClass;
        sample.response = elapsedSince(sent.at);
        sample.ideal = load::idealTime(job);
        sample.tasks = static_cast<std::uint32_t>(job.tasks.size());
        Error ignored;
        const auto json = parseJson(reply.body, &ignored);
        const std::string outcome = json && json->isObject() ? (*json)["outcome"].asString() : "";
        sample.outcome = parseOutcome(outcome).value_or(Outcome::Unknown);
        if (outcome.empty())
            sample.error = "no answer: status " + std::to_string(reply.status) + " " + reply.reason;
        else if (sample.outcome != Outcome::Complete)
            sample.error = (*json)["error"]["kind"].asString();
        const std::string kind = json && json->isObject() ? (*json)["error"]["kind"].asString()
                                                          : "";
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!sent.id.empty() && !outcome.empty())
            m_outcomes += sent.id + "," + outcome + "," + kind + "\n";
        if (sample.outcome == Outcome::Complete)
            checkResults(sent, (*json)["results"]);
        const bool sampled = !sent.resubmitted && job.at >= m_experiment.warmUp;
        if (sampled)
            m_samples.push_back(sample);
        if (--m_openCount == 0)
            m_idle.notify_all();
    }

    void checkResults(const SentRequest &sent, const Json::Value &results)
    {
        const std::size_t tasks = m_plan[sent.job].tasks.size();
        if (results.size() != tasks) {
            m_violations.push_back("incomplete answer to " + sent.id);
            return;
        }
        for (std::size_t i = 0; i < tasks; ++i) {
            const std::string actual = results[static_cast<Json::ArrayIndex>(i)].asString();
            if (actual != expectedEcho(sent.job, i))
                m_violations.push_back("answer with another task's result to " + sent.id + ": "
                                       + actual);
        }
    }

    const load::Experiment &m_experiment;
    std::vector<load::PlannedJob> m_plan;
    std::mt19937_64 m_random;
    Balancer m_balancer;
    std::vector<Client> m_clients;
    std::vector<std::shared_ptr<edge::HttpClient>> m_previousClients;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::size_t m_openCount = 0;
    std::vector<load::Sample> m_samples;
    std::vector<std::string> m_violations;

    // A line "submission,outcome,kind" for each reply to a submission with an id
    std::string m_outcomes;
};

// [SECTION] Measurements

struct MessageCounts
{
    double starts = 0;
    double messages = 0;
    double wasted = 0;
};

MessageCounts readMessageCounts(const load::Experiment &experiment)
{
    MessageCounts counts;
    for (const std::string &url : experiment.metricsUrls) {
        edge::HttpClient client(url, {});
        auto sums = load::parseMetrics(client.callAndWait("GET", "/metrics", {}, {}).body);
        counts.starts += sums["foxwing_agent_starts_total"];
        counts.messages += sums["foxwing_messages_sent_total"];
        counts.wasted += sums["foxwing_agent_refusals_total"] + sums["foxwing_agent_voids_total"]
                + sums["foxwing_verifications_total"] + sums["foxwing_results_foreign_total"]
                + sums["foxwing_agent_resends_total"];
    }
    return counts;
}

// The median time of sequential direct calls with the mean run time of the first mix.
double measureBaseline(const load::Experiment &experiment)
{
    constexpr int Calls = 40;
    if (experiment.baselineUrl.empty())
        return 0;
    edge::HttpClient client(experiment.baselineUrl, {});
    std::vector<double> durations;
    const std::string body = "{\"sleepMs\":" + std::to_string(experiment.mixes[0].mean.count())
            + "}";
    for (int i = 0; i < Calls; ++i) {
        const Clock::time_point start = Clock::now();
        client.callAndWait("POST", "/tasks/baseline/" + std::to_string(i), body, {});
        durations.push_back(toMilliseconds(elapsedSince(start)));
    }
    std::sort(durations.begin(), durations.end());
    return load::quantileOf(durations, 0.5);
}

} // namespace

// [SECTION] Command

int runLoad(const Options &options)
{
    if (options.arguments.size() != 2)
        return usageError("load needs one experiment file");
    Error reason;
    const auto experiment = load::readExperiment(options.arguments[1], &reason);
    auto plan = experiment ? load::makePlan(*experiment, &reason) : std::nullopt;
    if (!plan)
        return usageError(reason.message);
    const double baseline = measureBaseline(*experiment);
    const MessageCounts before = readMessageCounts(*experiment);
    LoadRun run(*experiment, std::move(*plan));
    load::Summary summary = run.run();
    const MessageCounts after = readMessageCounts(*experiment);
    summary.baselineMs = baseline;
    summary.starts = after.starts - before.starts;
    summary.messages = after.messages - before.messages;
    summary.wastedMessages = after.wasted - before.wasted;
    if (options.json)
        std::printf("%s\n", writeJson(load::writeSummary(summary)).c_str());
    else
        std::printf("%s", load::writeTable(summary).c_str());
    if (!options.plotFile.empty())
        std::ofstream(options.plotFile) << load::writePlot(summary);
    if (!options.outcomesFile.empty())
        std::ofstream(options.outcomesFile) << run.outcomes();
    return summary.violations.empty() ? ExitSuccess : ExitFailed;
}

} // namespace foxwing::cli
