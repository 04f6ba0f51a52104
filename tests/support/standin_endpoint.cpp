/*
    Fake endpoint for demos and benchmarks: accepts tasks over HTTP and counts every start.

        standin_endpoint PORT [slow=MS] [fail=all] [hang=all] [late=MS]

    A payload may be {"sleepMs":50,"echo":"text","fail":true,"hang":true}. The result is the echo
    text, else the path of the task. GET /starts lists how often each task was started; a count
    above 1 violates the at-most-once guarantee.

    [SECTION] Timers
    [SECTION] Tasks
    [SECTION] Main
*/
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <queue>
#include <thread>

#include <foxwing/base/codec.h>
#include <foxwing/edge/httpserver.h>

using namespace foxwing;

namespace {

using Clock = std::chrono::steady_clock;

struct Options
{
    long slowMs = 0;
    long lateMs = 0;
    bool failAll = false;
    bool hangAll = false;
};

// [SECTION] Timers

class Timers
{
public:
    Timers()
        : m_thread([this] { run(); })
    {
        m_thread.detach();
    }

    void after(Milliseconds delay, std::function<void()> job)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_jobs.emplace(Clock::now() + delay, std::move(job));
        m_wakeUp.notify_one();
    }

private:
    void run()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        for (;;) {
            if (m_jobs.empty()) {
                m_wakeUp.wait(lock);
                continue;
            }
            const auto first = m_jobs.begin();
            if (first->first > Clock::now()) {
                m_wakeUp.wait_until(lock, first->first);
                continue;
            }
            const std::function<void()> job = std::move(first->second);
            m_jobs.erase(first);
            lock.unlock();
            job();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::multimap<Clock::time_point, std::function<void()>> m_jobs;
    std::thread m_thread;
};

// [SECTION] Tasks

class Tasks
{
public:
    explicit Tasks(const Options &options)
        : m_options(options)
    { }

    void serve(const edge::HttpRequest &request, const edge::Responder &responder)
    {
        if (request.method == "GET")
            return list(responder);
        std::string path;
        for (const std::string &part : request.path)
            path += "/" + part;
        if (request.method == "DELETE")
            return stop(path, responder);
        start(path, request.body, responder);
    }

private:
    void start(const std::string &path, const std::string &body, const edge::Responder &responder)
    {
        Error ignored;
        Json::Value payload = parseJson(body, &ignored).value_or(Json::Value());
        if (!payload.isObject())
            payload = Json::Value(Json::objectValue);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_starts[path];
            m_running.emplace(path, responder);
        }
        if (m_options.hangAll || payload["hang"].asBool())
            return;
        const bool failing = m_options.failAll || payload["fail"].asBool();
        const std::string result = payload.get("echo", path).asString();
        const long delay = payload.get("sleepMs", 0).asInt() + m_options.slowMs + m_options.lateMs;
        const auto finish = [this, path, failing, result] {
            end(path, failing ? 500 : 200, failing ? "asked to fail" : result);
        };
        if (delay == 0)
            finish();
        else
            m_timers.after(Milliseconds(delay), finish);
    }

    void end(const std::string &path, int status, const std::string &body)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const auto found = m_running.find(path);
        if (found == m_running.end())
            return;
        const edge::Responder responder = found->second;
        m_running.erase(found);
        lock.unlock();
        responder.reply(status, "text/plain", body);
    }

    void stop(const std::string &path, const edge::Responder &responder)
    {
        end(path, 499, "stopped");
        responder.reply(200, "text/plain", "");
    }

    void list(const edge::Responder &responder)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string text;
        for (const auto &start : m_starts)
            text += start.first + " " + std::to_string(start.second) + "\n";
        responder.reply(200, "text/plain", text);
    }

    Options m_options;
    Timers m_timers;
    std::mutex m_mutex;
    std::map<std::string, int> m_starts;
    std::map<std::string, edge::Responder> m_running;
};

Options parseOptions(int argc, char **argv)
{
    Options options;
    for (int i = 2; i < argc; ++i) {
        const std::string argument = argv[i];
        const std::size_t equals = argument.find('=');
        const std::string value = equals == std::string::npos ? "" : argument.substr(equals + 1);
        if (argument.compare(0, 5, "slow=") == 0)
            options.slowMs = std::atol(value.c_str());
        else if (argument.compare(0, 5, "late=") == 0)
            options.lateMs = std::atol(value.c_str());
        options.failAll = options.failAll || argument == "fail=all";
        options.hangAll = options.hangAll || argument == "hang=all";
    }
    return options;
}

} // namespace

// [SECTION] Main

int main(int argc, char **argv)
{
    if (argc < 2) {
        std::fprintf(stderr,
                     "use: standin_endpoint PORT [slow=MS] [fail=all] [hang=all] [late=MS]\n");
        return 2;
    }
    Tasks tasks(parseOptions(argc, argv));
    edge::HttpServerSettings settings;
    settings.port = std::atoi(argv[1]);
    edge::HttpServer server(settings,
                            [&tasks](const edge::HttpRequest &request,
                                     const edge::Responder &responder) {
                                tasks.serve(request, responder);
                            });
    Error reason;
    if (!server.start(&reason)) {
        std::fprintf(stderr, "%s\n", reason.message.c_str());
        return 1;
    }
    for (;;)
        std::this_thread::sleep_for(std::chrono::hours(1));
}
