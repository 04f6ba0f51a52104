/*
    When an operator's call is accepted, forwarded, retried or answered as unconfirmed.

    [SECTION] Helpers
    [SECTION] Declarations
    [SECTION] Reads
    [SECTION] Forwarding
    [SECTION] Cordons
*/
#include <gtest/gtest.h>

#include <foxwing/operators/operators.h>

namespace foxwing::operators {
namespace {

// [SECTION] Helpers

enum class Role {
    Leader,
    Follower,

    // Knows no leader, or is not connected to it
    NoLeader,

    // Elected, but has not caught up yet
    Elected,
};

struct Host
{
    explicit Host(Role role, std::uint64_t currentVersion = 5)
    {
        agreed.declared.catalog.version = currentVersion;
        group.agreed = &agreed;
        group.isReadyLeader = role == Role::Leader;
        group.isElected = role == Role::Leader || role == Role::Elected;
        group.reachesLeader = role == Role::Follower;
    }

    OperatorActions add(OperatorRequest request, bool fromPeer = false)
    {
        OperatorCall call;
        call.request = std::move(request);
        call.fromPeer = fromPeer;
        return addCall(operators, call, group, now, &number);
    }

    OperatorActions declare(std::uint64_t version, bool fromPeer = false)
    {
        catalog::DeclaredCatalog declared;
        declared.catalog.version = version;
        return add(declared, fromPeer);
    }

    OperatorActions read() { return add(ReadCatalog {}); }

    // The command of the last call
    catalog::CordonCommand command() const
    {
        return std::get<catalog::CordonCommand>(operators.calls.at(number).request);
    }

    OperatorActions advance(Milliseconds duration)
    {
        now += duration;
        return tick(operators, group, now);
    }

    catalog::AgreedState agreed;
    GroupStatus group;
    OperatorState operators;
    Time now { Seconds(100) };
    std::uint64_t number = 0;
};

// [SECTION] Declarations

struct VersionCase
{
    const char *name;
    std::uint64_t version;
    bool isProposed;
};

class Versions : public testing::TestWithParam<VersionCase>
{ };

// A version that is not above the current one is accepted and changes nothing.
TEST_P(Versions, AreProposedOnlyAboveTheCurrentOne)
{
    Host host(Role::Leader);
    const OperatorActions actions = host.declare(GetParam().version);
    EXPECT_EQ(actions.proposals.size(), GetParam().isProposed ? 1U : 0U);
    ASSERT_EQ(actions.answers.size(), GetParam().isProposed ? 0U : 1U);
    if (!GetParam().isProposed) {
        EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Accepted);
    }
}

INSTANTIATE_TEST_SUITE_P(Operators, Versions,
                         testing::Values(VersionCase { "Older", 4, false },
                                         VersionCase { "Equal", 5, false },
                                         VersionCase { "Newer", 6, true }),
                         [](const auto &tested) { return tested.param.name; });

struct CommitCase
{
    const char *name;
    std::uint64_t index;
    std::uint64_t term;
    bool accepted;
    bool proposedAgain;
};

class Commits : public testing::TestWithParam<CommitCase>
{ };

// The call's entry has index 8 and term 3.
TEST_P(Commits, AcceptOnlyTheCallsOwnEntry)
{
    Host host(Role::Leader);
    host.declare(6);
    proposed(host.operators, host.number, 8, 3, host.group, host.now);
    const OperatorActions actions = committed(host.operators, GetParam().index, GetParam().term,
                                              catalog::ApplyResult::Changed, host.group, host.now);
    EXPECT_EQ(actions.answers.size(), GetParam().accepted ? 1U : 0U);
    EXPECT_EQ(host.advance(host.operators.settings.retryDelay).proposals.size(),
              GetParam().proposedAgain ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Operators, Commits,
                         testing::Values(CommitCase { "OwnEntry", 8, 3, true, false },
                                         CommitCase { "EarlierIndex", 7, 3, false, false },
                                         CommitCase { "AnotherTermAtItsIndex", 8, 4, false, true },
                                         CommitCase { "LaterIndex", 9, 4, false, true }),
                         [](const auto &tested) { return tested.param.name; });

// With a single voter, the entry commits before the proposal returns.
TEST(OperatorsCommit, MayPrecedeTheProposalsReturn)
{
    Host host(Role::Leader);
    host.declare(6);
    committed(host.operators, 8, 3, catalog::ApplyResult::Changed, host.group, host.now);
    const OperatorActions actions = proposed(host.operators, host.number, 8, 3, host.group,
                                             host.now);
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Accepted);
}

TEST(OperatorsCommit, ThatNeverComesLeavesTheCallUnconfirmed)
{
    Host host(Role::Leader);
    host.declare(6);
    proposed(host.operators, host.number, 8, 3, host.group, host.now);
    const Milliseconds callTimeout = host.operators.settings.callTimeout;
    EXPECT_TRUE(host.advance(callTimeout - Milliseconds(1)).answers.empty());
    const OperatorActions actions = host.advance(Milliseconds(1));
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Unconfirmed);
    EXPECT_TRUE(committed(host.operators, 8, 3, catalog::ApplyResult::Changed, host.group, host.now)
                        .answers.empty());
}

TEST(OperatorsCommit, IsNotAwaitedAfterTheLogReopens)
{
    Host host(Role::Leader);
    host.declare(6);
    proposed(host.operators, host.number, 8, 3, host.group, host.now);
    logReopened(host.operators);
    EXPECT_EQ(host.advance(host.operators.settings.retryDelay).proposals.size(), 1U);
}

// Another operator's higher version was committed in the meantime.
TEST(OperatorsCommit, OfAHigherVersionAcceptsALowerCall)
{
    Host host(Role::Leader);
    host.declare(6);
    host.agreed.declared.catalog.version = 7;
    const OperatorActions actions = host.advance(host.operators.settings.retryDelay);
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Accepted);
}

// [SECTION] Reads

struct ReadCase
{
    const char *name;
    std::uint64_t currentVersion;
    bool confirmed;
    std::optional<OperatorOutcome> outcome;
};

class Reads : public testing::TestWithParam<ReadCase>
{ };

TEST_P(Reads, AreAnsweredOnlyWhenConfirmed)
{
    Host host(Role::Leader, GetParam().currentVersion);
    EXPECT_EQ(host.read().reads.size(), 1U);
    const OperatorActions actions = readDone(host.operators, host.number, GetParam().confirmed,
                                             host.group, host.now);
    ASSERT_EQ(actions.answers.size(), GetParam().outcome ? 1U : 0U);
    if (!GetParam().outcome)
        return;
    EXPECT_EQ(actions.answers.at(0).outcome, *GetParam().outcome);
    ASSERT_EQ(actions.answers.at(0).declared.has_value(),
              *GetParam().outcome == OperatorOutcome::Accepted);
    if (actions.answers.at(0).declared) {
        EXPECT_EQ(actions.answers.at(0).declared->catalog.version, GetParam().currentVersion);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Operators, Reads,
        testing::Values(ReadCase { "Confirmed", 5, true, OperatorOutcome::Accepted },
                        ReadCase { "NothingDeclared", 0, true, OperatorOutcome::Unconfirmed },
                        ReadCase { "LostLeadership", 5, false, std::nullopt }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Forwarding

struct ForwardCase
{
    const char *name;
    Role role;
    bool fromPeer;
    bool forwarded;
    bool answeredUnconfirmed;
};

class Forwards : public testing::TestWithParam<ForwardCase>
{ };

TEST_P(Forwards, GoToTheLeaderOnce)
{
    Host host(GetParam().role);
    const OperatorActions actions = host.declare(6, GetParam().fromPeer);
    EXPECT_TRUE(actions.proposals.empty());
    EXPECT_EQ(actions.forwards.size(), GetParam().forwarded ? 1U : 0U);
    ASSERT_EQ(actions.answers.size(), GetParam().answeredUnconfirmed ? 1U : 0U);
    if (GetParam().answeredUnconfirmed) {
        EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Unconfirmed);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Operators, Forwards,
        testing::Values(ForwardCase { "FromAnOperator", Role::Follower, false, true, false },
                        ForwardCase { "WithoutALeader", Role::NoLeader, false, false, false },
                        ForwardCase { "FromAnotherHost", Role::Follower, true, false, true },
                        ForwardCase { "ToAnElectedHost", Role::Elected, true, false, false }),
        [](const auto &tested) { return tested.param.name; });

TEST(OperatorsForward, IsRetriedAfterAnUnconfirmedAnswer)
{
    Host host(Role::Follower);
    host.declare(6);
    OperatorAnswer unconfirmed;
    unconfirmed.number = host.number;
    EXPECT_TRUE(peerAnswered(host.operators, unconfirmed, host.group, host.now).answers.empty());
    EXPECT_EQ(host.advance(host.operators.settings.retryDelay).forwards.size(), 1U);
}

TEST(OperatorsForward, ReturnsTheLeadersAnswer)
{
    Host host(Role::Follower);
    host.read();
    OperatorAnswer reply;
    reply.number = host.number;
    reply.outcome = OperatorOutcome::Accepted;
    reply.declared.emplace();
    reply.declared->catalog.version = 9;
    const OperatorActions actions = peerAnswered(host.operators, reply, host.group, host.now);
    ASSERT_EQ(actions.answers.size(), 1U);
    ASSERT_TRUE(actions.answers.at(0).declared);
    EXPECT_EQ(actions.answers.at(0).declared->catalog.version, 9U);
}

// [SECTION] Cordons

constexpr std::uint64_t CurrentRevision = 4;

struct CordonHost : Host
{
    explicit CordonHost(Role role)
        : Host(role)
    {
        agreed.cordons.revision = CurrentRevision;
    }

    OperatorActions cordon(bool fromPeer = false, std::uint64_t basedOn = 0)
    {
        return add(catalog::CordonCommand { "north", true, basedOn }, fromPeer);
    }

    // Commits the last call's entry after another cordon command.
    OperatorActions commitOutdated()
    {
        proposed(operators, number, 8, 3, group, now);
        agreed.cordons.revision = CurrentRevision + 1;
        return committed(operators, 8, 3, catalog::ApplyResult::Outdated, group, now);
    }
};

// This host's state may be old, and a cordon, unlike a catalog's version, can be reverted. So its
// state does not show whether the command would change anything.
TEST(OperatorsCordon, IsProposedEvenIfItSeemsToBeInEffect)
{
    CordonHost host(Role::Leader);
    host.agreed.cordons.dataCentres = { "north" };
    const OperatorActions actions = host.cordon();
    EXPECT_EQ(actions.proposals.size(), 1U);
    EXPECT_TRUE(actions.answers.empty());
}

struct BaseRevisionCase
{
    const char *name;
    Role role;
    bool fromPeer;
    std::uint64_t basedOn;
};

class BaseRevisions : public testing::TestWithParam<BaseRevisionCase>
{ };

// Only the host that received the call knows whether the operator still waits.
TEST_P(BaseRevisions, AreThoseOfTheHostThatReceivedTheCall)
{
    CordonHost host(GetParam().role);
    host.cordon(GetParam().fromPeer, 2);
    EXPECT_EQ(host.command().basedOn, GetParam().basedOn);
}

INSTANTIATE_TEST_SUITE_P(
        Operators, BaseRevisions,
        testing::Values(BaseRevisionCase { "Leader", Role::Leader, false, CurrentRevision },
                        BaseRevisionCase { "Follower", Role::Follower, false, CurrentRevision },
                        BaseRevisionCase { "Forwarded", Role::Leader, true, 2 }),
        [](const auto &tested) { return tested.param.name; });

TEST(OperatorsCordon, ThatIsOutdatedIsReissuedWhileItsOperatorWaits)
{
    CordonHost host(Role::Leader);
    host.cordon();
    EXPECT_TRUE(host.commitOutdated().answers.empty());
    EXPECT_EQ(host.advance(host.operators.settings.retryDelay).proposals.size(), 1U);
    EXPECT_EQ(host.command().basedOn, CurrentRevision + 1);
    EXPECT_EQ(host.operators.outdated, 1U);
}

TEST(OperatorsCordon, ThatIsOutdatedReturnsToTheForwardingHost)
{
    CordonHost host(Role::Leader);
    host.cordon(true, CurrentRevision);
    const OperatorActions actions = host.commitOutdated();
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Unconfirmed);
}

TEST(OperatorsCordon, OfAnOperatorThatStoppedWaitingIsNotReissued)
{
    CordonHost host(Role::Leader);
    host.cordon();
    dropCall(host.operators, host.number);
    EXPECT_TRUE(host.commitOutdated().answers.empty());
    EXPECT_TRUE(host.advance(host.operators.settings.retryDelay).proposals.empty());
}

struct PauseCase
{
    const char *name;
    Milliseconds pause;

    // Whether there is a tick between the pause and the call
    bool tickBetween;
    bool accepted;
};

class Pauses : public testing::TestWithParam<PauseCase>
{ };

// A call that is read after a pause may have been sent before it. Its operator may have tried
// another host since, and issued the opposite command there.
TEST_P(Pauses, RejectCordonCommands)
{
    CordonHost host(Role::Leader);
    host.advance(Milliseconds(20));
    host.now += GetParam().pause;
    if (GetParam().tickBetween)
        host.advance(Milliseconds(0));
    const OperatorActions actions = host.cordon();
    EXPECT_EQ(actions.proposals.size(), GetParam().accepted ? 1U : 0U);
    ASSERT_EQ(actions.answers.size(), GetParam().accepted ? 0U : 1U);
    if (!GetParam().accepted) {
        EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Unconfirmed);
    }
    host.advance(Milliseconds(20));
    host.advance(host.operators.settings.catchUpDuration);
    EXPECT_EQ(host.cordon().proposals.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
        Operators, Pauses,
        testing::Values(PauseCase { "BusyEventLoop", Milliseconds(150), false, true },
                        PauseCase { "Paused", Milliseconds(1500), false, false },
                        PauseCase { "PausedThenTicked", Milliseconds(1500), true, false }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::operators
