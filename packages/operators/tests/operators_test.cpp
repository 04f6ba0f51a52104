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

enum class Place {
    Leader,
    Follower,

    // Knows no leader, or is not connected to it
    Alone,

    // Elected, but has not applied all committed entries yet
    NamedLeader,
};

struct Host
{
    explicit Host(Place place, std::uint64_t heldVersion = 5)
    {
        agreed.declared.catalog.version = heldVersion;
        view.agreed = &agreed;
        view.isReadyLeader = place == Place::Leader;
        view.isElected = place == Place::Leader || place == Place::NamedLeader;
        view.reachesLeader = place == Place::Follower;
    }

    OperatorActions add(OperatorRequest request, bool fromPeer = false)
    {
        OperatorCall call;
        call.request = std::move(request);
        call.fromPeer = fromPeer;
        return addCall(operators, call, view, now, &number);
    }

    OperatorActions declare(std::uint64_t version, bool fromPeer = false)
    {
        catalog::DeclaredCatalog declared;
        declared.catalog.version = version;
        return add(declared, fromPeer);
    }

    OperatorActions read() { return add(ReadCatalog {}); }

    // The command of the last call
    catalog::CordonCommand order() const
    {
        return std::get<catalog::CordonCommand>(operators.calls.at(number).request);
    }

    OperatorActions pass(Milliseconds span)
    {
        now += span;
        return tick(operators, view, now);
    }

    catalog::AgreedState agreed;
    GroupStatus view;
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
TEST_P(Versions, AreProposedOnlyAboveTheOneHeld)
{
    Host host(Place::Leader);
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
    Host host(Place::Leader);
    host.declare(6);
    proposed(host.operators, host.number, 8, 3, host.view, host.now);
    const OperatorActions actions = committed(host.operators, GetParam().index, GetParam().term,
                                              catalog::ApplyResult::Changed, host.view, host.now);
    EXPECT_EQ(actions.answers.size(), GetParam().accepted ? 1U : 0U);
    EXPECT_EQ(host.pass(host.operators.settings.retryDelay).proposals.size(),
              GetParam().proposedAgain ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Operators, Commits,
                         testing::Values(CommitCase { "Its", 8, 3, true, false },
                                         CommitCase { "AnEarlierOne", 7, 3, false, false },
                                         CommitCase { "AnotherLeadersInItsPlace", 8, 4, false,
                                                      true },
                                         CommitCase { "ALaterOne", 9, 4, false, true }),
                         [](const auto &tested) { return tested.param.name; });

// With a single voter, the entry commits before the proposal returns.
TEST(OperatorsCommit, MayComeBeforeTheProposalIsKnown)
{
    Host host(Place::Leader);
    host.declare(6);
    committed(host.operators, 8, 3, catalog::ApplyResult::Changed, host.view, host.now);
    const OperatorActions actions = proposed(host.operators, host.number, 8, 3, host.view,
                                             host.now);
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Accepted);
}

TEST(OperatorsCommit, ThatNeverComesLeavesTheCallUnsure)
{
    Host host(Place::Leader);
    host.declare(6);
    proposed(host.operators, host.number, 8, 3, host.view, host.now);
    const Milliseconds callTimeout = host.operators.settings.callTimeout;
    EXPECT_TRUE(host.pass(callTimeout - Milliseconds(1)).answers.empty());
    const OperatorActions actions = host.pass(Milliseconds(1));
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Unconfirmed);
    EXPECT_TRUE(committed(host.operators, 8, 3, catalog::ApplyResult::Changed, host.view, host.now)
                        .answers.empty());
}

TEST(OperatorsCommit, IsAwaitedNoMoreOnceTheLogIsOpenedAnew)
{
    Host host(Place::Leader);
    host.declare(6);
    proposed(host.operators, host.number, 8, 3, host.view, host.now);
    logReopened(host.operators);
    EXPECT_EQ(host.pass(host.operators.settings.retryDelay).proposals.size(), 1U);
}

// Another operator's higher version was committed in the meantime.
TEST(OperatorsCommit, OfAHigherVersionEndsALowerCall)
{
    Host host(Place::Leader);
    host.declare(6);
    host.agreed.declared.catalog.version = 7;
    const OperatorActions actions = host.pass(host.operators.settings.retryDelay);
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Accepted);
}

// [SECTION] Reads

struct ReadCase
{
    const char *name;
    std::uint64_t heldVersion;
    bool confirmed;
    std::optional<OperatorOutcome> outcome;
};

class Reads : public testing::TestWithParam<ReadCase>
{ };

TEST_P(Reads, AreAnsweredOnlyWhenConfirmed)
{
    Host host(Place::Leader, GetParam().heldVersion);
    EXPECT_EQ(host.read().reads.size(), 1U);
    const OperatorActions actions = readDone(host.operators, host.number, GetParam().confirmed,
                                             host.view, host.now);
    ASSERT_EQ(actions.answers.size(), GetParam().outcome ? 1U : 0U);
    if (!GetParam().outcome)
        return;
    EXPECT_EQ(actions.answers.at(0).outcome, *GetParam().outcome);
    ASSERT_EQ(actions.answers.at(0).declared.has_value(),
              *GetParam().outcome == OperatorOutcome::Accepted);
    if (actions.answers.at(0).declared) {
        EXPECT_EQ(actions.answers.at(0).declared->catalog.version, GetParam().heldVersion);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Operators, Reads,
        testing::Values(ReadCase { "Confirmed", 5, true, OperatorOutcome::Accepted },
                        ReadCase { "NothingDeclared", 0, true, OperatorOutcome::Unconfirmed },
                        ReadCase { "LostTheLead", 5, false, std::nullopt }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Forwarding

struct HandOverCase
{
    const char *name;
    Place place;
    bool fromPeer;
    bool forwarded;
    bool answeredUnsure;
};

class HandOvers : public testing::TestWithParam<HandOverCase>
{ };

TEST_P(HandOvers, GoToTheLeaderOnce)
{
    Host host(GetParam().place);
    const OperatorActions actions = host.declare(6, GetParam().fromPeer);
    EXPECT_TRUE(actions.proposals.empty());
    EXPECT_EQ(actions.forwards.size(), GetParam().forwarded ? 1U : 0U);
    ASSERT_EQ(actions.answers.size(), GetParam().answeredUnsure ? 1U : 0U);
    if (GetParam().answeredUnsure) {
        EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Unconfirmed);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Operators, HandOvers,
        testing::Values(HandOverCase { "FromAnOperator", Place::Follower, false, true, false },
                        HandOverCase { "WithoutALeader", Place::Alone, false, false, false },
                        HandOverCase { "FromAnotherHost", Place::Follower, true, false, true },
                        HandOverCase { "ToAHostThatIsAboutToLead", Place::NamedLeader, true, false,
                                       false }),
        [](const auto &tested) { return tested.param.name; });

TEST(OperatorsHandOver, IsTriedAgainWhenTheOtherHostIsUnsure)
{
    Host host(Place::Follower);
    host.declare(6);
    OperatorAnswer unconfirmed;
    unconfirmed.number = host.number;
    EXPECT_TRUE(peerAnswered(host.operators, unconfirmed, host.view, host.now).answers.empty());
    EXPECT_EQ(host.pass(host.operators.settings.retryDelay).forwards.size(), 1U);
}

TEST(OperatorsHandOver, GivesTheOperatorWhatTheLeaderSaid)
{
    Host host(Place::Follower);
    host.read();
    OperatorAnswer given;
    given.number = host.number;
    given.outcome = OperatorOutcome::Accepted;
    given.declared.emplace();
    given.declared->catalog.version = 9;
    const OperatorActions actions = peerAnswered(host.operators, given, host.view, host.now);
    ASSERT_EQ(actions.answers.size(), 1U);
    ASSERT_TRUE(actions.answers.at(0).declared);
    EXPECT_EQ(actions.answers.at(0).declared->catalog.version, 9U);
}

// [SECTION] Cordons

constexpr std::uint64_t HeldRevision = 4;

struct CordonHost : Host
{
    explicit CordonHost(Place place)
        : Host(place)
    {
        agreed.cordons.revision = HeldRevision;
    }

    OperatorActions cordon(bool fromPeer = false, std::uint64_t basedOn = 0)
    {
        return add(catalog::CordonCommand { "north", true, basedOn }, fromPeer);
    }

    // Commits the last call's entry after another cordon command.
    OperatorActions commitOutdated()
    {
        proposed(operators, number, 8, 3, view, now);
        agreed.cordons.revision = HeldRevision + 1;
        return committed(operators, 8, 3, catalog::ApplyResult::Outdated, view, now);
    }
};

// This host's state may be old, and a cordon, unlike a catalog's version, can be reverted. So its
// state does not show whether the command would change anything.
TEST(OperatorsCordon, IsAgreedOnEvenIfItSeemsToBeSo)
{
    CordonHost host(Place::Leader);
    host.agreed.cordons.dataCentres = { "north" };
    const OperatorActions actions = host.cordon();
    EXPECT_EQ(actions.proposals.size(), 1U);
    EXPECT_TRUE(actions.answers.empty());
}

struct BasisCase
{
    const char *name;
    Place place;
    bool fromPeer;
    std::uint64_t basedOn;
};

class Bases : public testing::TestWithParam<BasisCase>
{ };

// Only the host that received the call knows whether the operator still waits.
TEST_P(Bases, AreOfTheHostThatTookTheCall)
{
    CordonHost host(GetParam().place);
    host.cordon(GetParam().fromPeer, 2);
    EXPECT_EQ(host.order().basedOn, GetParam().basedOn);
}

INSTANTIATE_TEST_SUITE_P(Operators, Bases,
                         testing::Values(BasisCase { "Leader", Place::Leader, false, HeldRevision },
                                         BasisCase { "Follower", Place::Follower, false,
                                                     HeldRevision },
                                         BasisCase { "HandedOver", Place::Leader, true, 2 }),
                         [](const auto &tested) { return tested.param.name; });

TEST(OperatorsCordon, ThatIsOutdatedIsGivenAnewWhileItsOperatorWaits)
{
    CordonHost host(Place::Leader);
    host.cordon();
    EXPECT_TRUE(host.commitOutdated().answers.empty());
    EXPECT_EQ(host.pass(host.operators.settings.retryDelay).proposals.size(), 1U);
    EXPECT_EQ(host.order().basedOn, HeldRevision + 1);
    EXPECT_EQ(host.operators.outdated, 1U);
}

TEST(OperatorsCordon, ThatIsOutdatedGoesBackToTheHostThatTookTheCall)
{
    CordonHost host(Place::Leader);
    host.cordon(true, HeldRevision);
    const OperatorActions actions = host.commitOutdated();
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Unconfirmed);
}

TEST(OperatorsCordon, OfAnOperatorThatHasGoneIsNotGivenAnew)
{
    CordonHost host(Place::Leader);
    host.cordon();
    dropCall(host.operators, host.number);
    EXPECT_TRUE(host.commitOutdated().answers.empty());
    EXPECT_TRUE(host.pass(host.operators.settings.retryDelay).proposals.empty());
}

struct PauseCase
{
    const char *name;
    Milliseconds pause;

    // Whether there is a tick between the pause and the call
    bool ticked;
    bool taken;
};

class Pauses : public testing::TestWithParam<PauseCase>
{ };

// A call that is read after a pause was sent before it. Its operator may have tried another host
// since, and ordered the opposite there.
TEST_P(Pauses, MakeOrdersDoubtful)
{
    CordonHost host(Place::Leader);
    host.pass(Milliseconds(20));
    host.now += GetParam().pause;
    if (GetParam().ticked)
        host.pass(Milliseconds(0));
    const OperatorActions actions = host.cordon();
    EXPECT_EQ(actions.proposals.size(), GetParam().taken ? 1U : 0U);
    ASSERT_EQ(actions.answers.size(), GetParam().taken ? 0U : 1U);
    if (!GetParam().taken) {
        EXPECT_EQ(actions.answers.at(0).outcome, OperatorOutcome::Unconfirmed);
    }
    host.pass(Milliseconds(20));
    host.pass(host.operators.settings.catchUpDuration);
    EXPECT_EQ(host.cordon().proposals.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Operators, Pauses,
                         testing::Values(PauseCase { "BusyTurn", Milliseconds(150), false, true },
                                         PauseCase { "Frozen", Milliseconds(1500), false, false },
                                         PauseCase { "FrozenAndTurned", Milliseconds(1500), true,
                                                     false }),
                         [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::operators
