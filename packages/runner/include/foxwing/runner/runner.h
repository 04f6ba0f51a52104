/*
    The agent's decisions: what runs on its endpoint, for whom, and until when.

    The endpoint runs whatever it is told while its lease lasts; it does not keep its own room. So
    the runner is the last guard: it starts only what fits, renews the lease, learns of ends by a
    long call to the endpoint, and stops what belongs to an entry that it no longer hears.

    Orders to the endpoint may stay unanswered and be carried out seconds later. A run counts as
    taking its room until its end was listed, or until it certainly can't begin any more: a stop for
    it was answered and a later look does not show it, the endpoint has another life, or the lease
   is over on the slowest clock.

    While its data centre is cordoned the endpoint gets nothing new, and neither before the agent
    knows the cordons: an entry may not know yet.

        RunnerState runner = makeRunner(settings, fence);
        RunnerActions actions = endpointHeard(runner, report, now);
        ... carry out actions ...
        actions = startAnswered(runner, id, answered, now);

    [SECTION] Settings
    [SECTION] Orders
    [SECTION] Answers
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <foxwing/base/fadingsum.h>
#include <foxwing/catalog/agreed.h>
#include <foxwing/eventlog/eventlog.h>
#include <foxwing/jobs/messages.h>

namespace foxwing::runner {

// [SECTION] Settings

struct RunnerSettings
{
    // Runs of an entry that was not heard for this long are stopped. With the endpoint lease and
    // the time that a stop takes it must stay under the shortest time after which a caller that
    // lost its entry may send the same job again (1.3 s).
    Milliseconds ownerSilence { 450 };

    // How long the endpoint goes on without a word from here; renewed by every look. Long enough
    // for an agent that gets no processor for half a second, see ownerSilence for the upper bound.
    Milliseconds leaseDuration { 400 };

    // How long a look waits at the endpoint for an end. While something runs it also brings the
    // progress of each run, which is wanted within the time that the shortest tasks can spare.
    Milliseconds busyWait { 60 };

    // The same while nothing runs; a start that comes meanwhile lives on its own lease until the
    // look returns, so well under leaseDuration.
    Milliseconds idleWait { 200 };

    // A start without an answer is ordered again, under the same number, until it is this old; then
    // the run is stopped. Some tries of 25 ms each, so that few are stopped even where half of all
    // orders get lost.
    Milliseconds startGivenUp { 150 };

    // While a look has failed within this span, others wait at the endpoint for no longer than
    // doubtfulWait: what an unanswered one would have brought comes so much later.
    Milliseconds doubtfulSpan { 1000 };
    Milliseconds doubtfulWait { 20 };

    // Looks that fail in a row before the endpoint counts as out of reach. Until then each is
    // followed by a quick one at once, which renews the lease as well; on days on which half of the
    // orders get no answer, one of seven is answered but for one time in a hundred.
    std::uint32_t looksBeforeOutOfReach { 7 };

    // Between looks at an endpoint that is out of reach, or whose earlier runs are being stopped.
    Milliseconds lookPause { 40 };

    // A stop that was not answered, or not followed by an end, is sent again. The endpoint takes
    // up to 50 ms to stop.
    Milliseconds stopRepeat { 70 };

    // When a run can't be stopped for this long, the lease of the whole endpoint is left to end.
    Milliseconds stopGivenUp { 350 };

    // Entries with work waiting learn of changed room at least this often, if they are not told at
    // once: well under the time of the shortest tasks, so that room does not stand idle.
    Milliseconds roomInterval { 10 };

    // The same for entries where nothing waits for room, and the longest time until a beat is
    // answered: a quarter of the silence after which an entry gives an agent up, and seldom enough
    // that news to entries with nothing to place costs little.
    Milliseconds calmInterval { 100 };

    // A run is judged once it ran for this long: twice the time in which an answer can be late on
    // a busy host.
    Milliseconds judgeAfter { 40 };

    // It is behind if it will take more than this many times its estimate, in percent. Estimates
    // are off by 40 percent and endpoints differ in speed by 25.
    std::uint32_t behindPercent { 250 };

    // A run that shows no progress for this long stands still, for estimates up to 1 s; a tenth of
    // the estimate is added.
    Milliseconds stillAfter { 45 };
    Milliseconds lagRepeat { 150 };

    // Ends of runs count for the pace at which room comes free for about this long: some turns of
    // the shortest tasks, and less than a burst.
    Milliseconds freedSpan { 300 };

    // Rows about waiting starts in one update. Those of the least urgent priorities beyond it go
    // into the last row, so that an update stays small whatever queues are declared.
    std::size_t mostWaitingRows = 8;

    // Starts of one priority and more urgent ones may wait for up to this part of the endpoint's
    // room, in percent.
    std::int64_t waitingPercent = 15;

    // An agent that has just started waits for so long for control to tell it the cordons; then it
    // takes what an entry knows, since control may be down while the rest goes on. Links to control
    // stand within 0.1 s of a start where control is there.
    Milliseconds cordonWait { 1000 };

    // Lives of the endpoint that are remembered as gone. More than crash within the time that a
    // heartbeat can be held up on its way.
    std::size_t mostFormerLives = 16;

    // Tasks under which the endpoint crashed are remembered for so long, and so many: above what
    // entries remember of a job, and what runs in some crashes of a full endpoint.
    Milliseconds crashesRememberedFor { 60000 };
    std::size_t mostCrashedTasks = 256;

    // Log lines a second about heartbeats that change nothing. Endpoints send one in 1.5 s.
    std::uint32_t passedOverLines = 5;

    // Endpoints whose runs fail or lag are put on trial.
    bool judgeEndpoint = true;

    // Each failure or lag takes an endpoint this much nearer to being on trial, each run that ends
    // on pace takes it back. On trial it gets one run at a time, and rests after a bad one.
    double badStep = 0.25;
    double goodFactor = 0.7;
    double trialAbove = 0.7;
    Milliseconds trialRest { 400 };
};

// [SECTION] Orders

struct StartOrder
{
    jobs::RunId id;
    std::string payload;

    // On the endpoint's clock: it does not begin the run later, and the lease lasts until then.
    Milliseconds deadline { 0 };
    std::uint64_t fence = 0;
    std::string life;
};

struct StopOrder
{
    jobs::RunId id;
    std::uint64_t fence = 0;
    std::string life;
};

// Renews the lease, takes note of ends, and waits for the next.
struct LookOrder
{
    std::uint64_t number = 0;

    // On the endpoint's clock; left out, the lease is not renewed.
    std::optional<Milliseconds> deadline;
    std::uint64_t fence = 0;
    std::uint64_t lastSeen = 0;
    Milliseconds wait { 0 };
    std::string life;
};

// [SECTION] Answers

enum class Answer {
    Ok,

    // Another agent, or an earlier life of this one, used a higher fence.
    Fenced,
    OldRun,
    TooLate,
    NoRoom,
    OtherLife,

    // The endpoint turned it down and did nothing.
    Busy,
    Invalid,

    // Nothing listens at the endpoint's address.
    Unreachable,

    // Nothing came back: it may have been done, or may be done later.
    None,
};

const char *toString(Answer answer);

struct Answered
{
    Answer answer = Answer::None;
    std::optional<Milliseconds> endpointClock;
};

struct RunningRow
{
    jobs::RunId id;
    std::uint32_t percent = 0;
};

struct EndedRow
{
    std::uint64_t number = 0;
    jobs::RunId id;
    jobs::RunEnd end = jobs::RunEnd::Done;
};

struct Look
{
    Answered answered;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;

    // When the endpoint that answered began, by its own date
    std::optional<WallTime> born;
};

// One life of an endpoint's process. The next one may come under the same id.
struct LifeId
{
    std::string id;

    // When it began, by its own date; left out where the platform does not tell it, and gives each
    // life an id of its own
    std::optional<WallTime> born;
};

bool operator==(const LifeId &left, const LifeId &right);
bool operator!=(const LifeId &left, const LifeId &right);

// What the endpoint says of itself in a heartbeat.
struct EndpointReport
{
    LifeId life;
    std::string service;
    std::string dataCentre;
    std::vector<std::string> labels;
    jobs::Room capacity;
    bool leaving = false;

    // Least time until it is gone, while leaving
    Milliseconds remaining { 0 };
    std::uint64_t sequence = 0;
    std::optional<Milliseconds> clock;
};

// [SECTION] State

enum class RunState {
    // A start was ordered and not answered yet.
    Ordered,
    Running,
    Stopping,
};

struct Run
{
    std::uint64_t session = 0;
    std::string payload;
    jobs::Room room;
    Milliseconds estimate { 0 };
    RunState state = RunState::Ordered;

    // How often its start was ordered
    std::uint32_t tries = 0;
    Time orderedAt {};
    Time startedAt {};

    // Whether the endpoint has confirmed or listed it.
    bool seen = false;

    // Stopping
    Time stopSince {};
    Time stopOrderedAt {};
    bool stopUnderWay = false;

    // The first look ordered after a stop was answered, or in another life; 0 before
    std::uint64_t goneIfMissingIn = 0;

    // Ordered in a former life of the endpoint, and not seen in the present one yet
    bool ofFormerLife = false;

    // How it ended if it was lost with that life
    jobs::RunEnd formerEnd = jobs::RunEnd::Lost;

    std::uint32_t percent = 0;
    Time progressAt {};
    bool behind = false;
    bool still = false;

    // At its present pace
    Milliseconds left { 0 };
    Time lagToldAt {};
    bool lagged = false;
};

// A start that waits at this agent for room. Nothing of it was ordered yet.
struct WaitingStart
{
    jobs::RunId id;
    std::uint64_t session = 0;
    std::string payload;
    jobs::Room room;
    Milliseconds estimate { 0 };
    std::uint32_t priority = 0;
    Time until {};
};

// One entry's connection.
struct Session
{
    std::string owner;
    Time heardAt {};
    bool welcomed = false;

    // Ended: its runs are being stopped.
    bool over = false;
    std::uint64_t beat = 0;
    std::uint64_t startsTaken = 0;
    std::uint64_t toldBeat = 0;
    std::uint64_t toldStarts = 0;
    bool refusedRoom = false;

    // Work waits for room at the entry.
    bool wantsRoom = false;
    bool dirty = false;
    Time toldAt {};
    jobs::Room toldFree;
    std::uint32_t toldMostStarts = 0;
    bool toldLeaving = false;
    std::uint64_t toldView = 0;
    std::vector<jobs::RunReport> ended;
    std::vector<jobs::LagReport> lagging;

    // The last crash under a task that it was told of
    std::uint64_t toldCrash = 0;
};

// A task that ran when the endpoint crashed.
struct CrashedTask
{
    jobs::TaskId task;
    std::uint32_t crashes = 0;

    // The last of them, and its place among all
    Time at {};
    std::uint64_t number = 0;
};

// Who tells an agent of the cordons.
enum class CordonSource {
    Control,

    // Only as new as what it heard from control last
    Entry,
};

// What is counted within one life of the endpoint. Another life begins with all of it anew: held
// against the counts of the life before, its heartbeats look old and its ends are forgotten untold.
struct LifeState
{
    // Whether a heartbeat of this life has told what it is and how much room it has; until then
    // only a list of runs has shown that it is there.
    bool described = false;

    // Whether it has answered a look
    bool answered = false;

    // Nothing runs that this agent did not start: earlier lives' runs are stopped first.
    bool clean = false;
    std::set<jobs::RunId> orphans;

    // The endpoint's clock when it was last told, and when that was here
    std::optional<Milliseconds> clockSample;
    Time clockAt {};

    // The latest time that any order may have prolonged the lease to, on the endpoint's clock
    Milliseconds leaseUntil { 0 };

    // The highest number of an end that was taken note of
    std::uint64_t lastSeen = 0;
    std::uint32_t looksFailed = 0;
    std::optional<Time> lookFailedAt;

    // Judgement
    double bad = 0;
    Time badAt {};
    double pace = 1.0;
};

struct RunnerState
{
    RunnerSettings settings;
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0;

    // Fence refusals in a row; the next fence is raised by more each time.
    std::uint32_t fencedOff = 0;

    // The endpoint; without a life nothing is known of it.
    EndpointReport endpoint;
    LifeState life;

    // The lives before it, the last one at the end: what they still say comes late
    std::deque<LifeId> formerLives;

    // The newest heartbeat of another life, while the present one answers or is the younger by its
    // date: a late or stray one, or the next life's. The endpoint's answer to the next look tells
    // which; doubtfulLook is the last look that was ordered before it came.
    std::optional<EndpointReport> doubtful;
    std::uint64_t doubtfulLook = 0;
    std::uint64_t viewNumber = 1;
    bool stopping = false;

    // Tasks under which the endpoint crashed in any of its lives, the last one at the end
    std::deque<CrashedTask> crashed;
    std::uint64_t lastCrash = 0;

    // Cordons, the newest that were heard; nothing starts before they are known.
    catalog::Cordons cordons;
    bool cordonsKnown = false;
    bool heardFromEntry = false;
    Time firstTick {};

    std::map<jobs::RunId, Run> runs;
    std::map<std::uint64_t, Session> sessions;

    // The next to start first: by priority, then as they came
    std::vector<WaitingStart> waiting;

    // Room that ended runs gave back, in thousandths of a core
    FadingSum freed;

    // Looks
    std::uint64_t lookNumber = 0;
    std::uint64_t lookAnswered = 0;
    bool lookUnderWay = false;
    Time nextLook {};
    bool wasOnTrial = false;

    // Counters for the metrics
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t stopped = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t heartbeatsPassedOver = 0;

    // Lines about them in the second that began then
    Time passedOverSecond {};
    std::uint32_t passedOverLines = 0;
};

struct RunnerActions
{
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::optional<LookOrder> look;
    std::vector<std::pair<std::uint64_t, jobs::Welcome>> welcomes;
    std::vector<std::pair<std::uint64_t, jobs::AgentUpdate>> updates;

    // Sessions whose connection is to be closed.
    std::vector<std::uint64_t> closes;
    std::vector<eventlog::Event> events;
};

// [SECTION] Functions

// The fence must be above those of this agent's earlier lives, as far as can be known; where it is
// not, the endpoint refuses it and it is raised.
RunnerState makeRunner(const RunnerSettings &settings, std::uint64_t incarnation,
                       std::uint64_t fence);

// The endpoint's heartbeat, or its word that it ends.
RunnerActions endpointHeard(RunnerState &runner, const EndpointReport &report, Time now);
RunnerActions endpointLeft(RunnerState &runner, const LifeId &life, Time now);

// What is cordoned. Older news than what is known here changes nothing.
RunnerActions cordonsHeard(RunnerState &runner, const catalog::Cordons &cordons,
                           CordonSource source, Time now);

// Whether the endpoint's data centre is cordoned.
bool isCordoned(const RunnerState &runner);

// An entry's session. Numbers are never used twice.
RunnerActions openSession(RunnerState &runner, std::uint64_t session, const std::string &owner,
                          Time now);
RunnerActions closeSession(RunnerState &runner, std::uint64_t session, Time now);
RunnerActions startTasks(RunnerState &runner, std::uint64_t session,
                         const jobs::StartTasks &message, Time now);
RunnerActions stopRuns(RunnerState &runner, std::uint64_t session, const jobs::StopRuns &message,
                       Time now);
RunnerActions sessionBeat(RunnerState &runner, std::uint64_t session,
                          const jobs::SessionBeat &message, Time now);

// Answers of the endpoint. Each order is answered exactly once, if only by None.
RunnerActions startAnswered(RunnerState &runner, const jobs::RunId &id, const Answered &answered,
                            Time now);
RunnerActions stopAnswered(RunnerState &runner, const jobs::RunId &id, const Answered &answered,
                           Time now);
RunnerActions lookAnswered(RunnerState &runner, std::uint64_t number, const Look &look, Time now);

RunnerActions tick(RunnerState &runner, Time now);

// A planned stop: nothing new is taken. Done once finished() holds.
RunnerActions beginStop(RunnerState &runner, Time now);
RunnerActions stopAll(RunnerState &runner, Time now);
bool finished(const RunnerState &runner);

// How long the run that was ordered first has been taking room; zero if none is.
Microseconds oldestRun(const RunnerState &runner, Time now);

// What an entry may count on.
jobs::EndpointView viewOf(const RunnerState &runner, Time now);

} // namespace foxwing::runner
