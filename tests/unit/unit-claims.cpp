#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <tuple>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/request.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Members = 3;
constexpr std::size_t Keys = 3;

/// A call to the store that a member waits for, or one whose answer was lost and that may still
/// reach the store.
using Call = std::variant<WriteClaims, ReadClaims, DeleteClaims>;

/// Model of the store's operations on claims.
struct Store
{
    auto apply(const WriteClaims &call) -> ClaimsAnswered
    {
        auto names = std::vector<ClaimName>();
        auto isAbsent = true;
        for (const auto &it : call.claims) {
            names.push_back(it.name);
            isAbsent = isAbsent && !records.contains(it.name);
        }
        if (!isAbsent)
            return apply(ReadClaims{names});
        ++revision;
        for (const auto &it : call.claims)
            records[it.name] = {it.record, revision};
        return {true, revision, {}};
    }

    [[nodiscard]] auto apply(const ReadClaims &call) const -> ClaimsAnswered
    {
        auto answer = ClaimsAnswered();
        for (const auto &name : call.names) {
            const auto it = records.find(name);
            answer.found.push_back(it == records.end() ? std::nullopt : std::optional(it->second));
        }
        return answer;
    }

    auto apply(const DeleteClaims &call) -> ClaimsDeleted
    {
        const auto isMatch = std::ranges::all_of(call.claims, [this](const auto &it) {
            const auto record = records.find(it.name);
            return record != records.end() && record->second.revision == it.revision;
        });
        ++revision;
        for (const auto &it : call.claims) {
            if (isMatch)
                records.erase(it.name);
        }
        return {};
    }

    std::map<ClaimName, StoredClaim> records;
    StoreRevision revision = 0;
};

struct Step
{
    int kind = 0;
    unsigned choice = 0;
};

auto showValue(const Step &step, std::ostream &stream) -> void
{
    stream << step.kind << '/' << step.choice;
}

/// Several members on one store, with lost, late and repeated calls, lost peer messages and
/// restarts. Checks that no two requests with the same claim may run, unless the first one is known
/// not to have run.
struct Fleet
{
    Fleet()
    {
        for (std::size_t i = 0; i < Members; ++i)
            members.push_back(makeMember(i));
        announceMembers();
    }

    auto run(const Step &step) -> void
    {
        const auto index = step.choice % Members;
        const auto choice = step.choice / static_cast<unsigned>(Members);
        switch (step.kind) {
        case 0:
        case 1:
        case 2:
            requestClaim(index, choice);
            break;
        case 3:
        case 4:
        case 5:
            answerCall(index, choice);
            break;
        case 6:
            loseCall(index, choice);
            break;
        case 7:
            applyLate(choice);
            break;
        case 8:
        case 9:
            endRun(choice);
            break;
        case 10:
            deliverPeerMessage(choice);
            break;
        case 11:
            if (!peerMessages.empty())
                peerMessages.erase(peerMessages.begin());
            break;
        case 12:
            now += std::chrono::milliseconds(choice % 800);
            tickAll();
            break;
        default:
            if (choice % 4 == 0)
                restartMember(index);
        }
    }

    /// Ends all faults. Afterwards every request of a member that has not restarted since must have
    /// got exactly one decision.
    auto settle() -> void
    {
        for (auto i = 0; i < 400; ++i) {
            for (std::size_t it = 0; it < Members; ++it)
                answerCall(it, 1);
            while (!peerMessages.empty())
                deliverPeerMessage(0);
            if (!runs.empty())
                endRun(0);
            now += 100ms;
            tickAll();
        }
        RC_ASSERT(pending.empty());
    }

    int granted = 0;
    int replayed = 0;

    struct Member
    {
        Incarnation self;
        std::unique_ptr<ClaimTable> table;
        std::optional<Call> call;
    };

    struct PendingRequest
    {
        std::size_t member = 0;
        ClaimName name;
        std::string fingerprint;
    };

    struct Run
    {
        std::size_t member = 0;
        RequestNumber number = 0;
        ClaimName name;
    };

    struct PeerMessage
    {
        std::size_t to = 0;
        std::variant<ClaimQueried, ClaimQueryAnswered> event;
    };

    auto makeMember(std::size_t index) -> Member
    {
        const auto self =
            Incarnation{MemberName(fmt::format("entry-{}", index)), ++lastIncarnation};
        return {self, std::make_unique<ClaimTable>(self), std::nullopt};
    }

    auto announceMembers() -> void
    {
        auto event = ClaimMembersChanged();
        for (const auto &it : members)
            event.members.insert(it.self.member);
        for (std::size_t i = 0; i < Members; ++i)
            step(i, event);
    }

    auto requestClaim(std::size_t index, unsigned choice) -> void
    {
        const auto number = ++lastNumber;
        const auto team = TeamName(choice % 5 == 0 ? "blue" : "red");
        const auto name = ClaimName{team, fmt::format("key-{}", choice % Keys)};
        const auto fingerprint = std::string(choice % 11 == 0 ? "other" : "same");
        pending.emplace(number, PendingRequest{index, name, fingerprint});
        step(index, ClaimRequested{number, name, fingerprint, now + 8s});
    }

    auto answerCall(std::size_t index, unsigned choice) -> void
    {
        auto &member = members[index];
        if (!member.call)
            return;
        const auto call = *std::exchange(member.call, std::nullopt);
        // The store's client may send a call twice, in which case it gets the second answer.
        if (choice % 4 == 0)
            std::visit([this](const auto &it) { std::ignore = store.apply(it); }, call);
        std::visit([this, index](const auto &it) { step(index, store.apply(it)); }, call);
    }

    auto loseCall(std::size_t index, unsigned choice) -> void
    {
        auto &member = members[index];
        if (!member.call)
            return;
        const auto call = *std::exchange(member.call, std::nullopt);
        if (choice % 3 == 0)
            std::visit([this](const auto &it) { std::ignore = store.apply(it); }, call);
        if (choice % 3 == 1)
            lateCalls.push_back(call);
        if (std::holds_alternative<DeleteClaims>(call)) {
            step(index, ClaimsDeleted{true});
        } else {
            step(index, ClaimsUnanswered());
        }
    }

    auto applyLate(unsigned choice) -> void
    {
        if (lateCalls.empty())
            return;
        const auto it = lateCalls.begin() + static_cast<std::ptrdiff_t>(choice % lateCalls.size());
        std::visit([this](const auto &call) { std::ignore = store.apply(call); }, *it);
        lateCalls.erase(it);
    }

    auto endRun(unsigned choice) -> void
    {
        if (runs.empty())
            return;
        const auto it = runs.begin() + static_cast<std::ptrdiff_t>(choice % runs.size());
        const auto run = *it;
        runs.erase(it);
        auto event = ClaimedRequestEnded{run.number, static_cast<RequestOutcome>(choice / 7 % 3),
                                         std::nullopt};
        if (event.outcome == RequestOutcome::Answered)
            event.response = HttpResponse{200, {}, fmt::format("answer-{}", run.number)};
        if (event.outcome == RequestOutcome::NotRun) {
            grantedRequest.erase(run.name);
        } else {
            answers[run.name] = event.response ? event.response->body : "";
        }
        step(run.member, event);
    }

    auto deliverPeerMessage(unsigned choice) -> void
    {
        if (peerMessages.empty())
            return;
        const auto it =
            peerMessages.begin() + static_cast<std::ptrdiff_t>(choice % peerMessages.size());
        const auto message = *it;
        peerMessages.erase(it);
        std::visit([&](const auto &event) { step(message.to, event); }, message.event);
    }

    /// Replaces a member by a new incarnation. Claims of the old one count as started for ever, and
    /// its callers get no decision.
    auto restartMember(std::size_t index) -> void
    {
        if (members[index].call)
            lateCalls.push_back(*members[index].call);
        members[index] = makeMember(index);
        std::erase_if(pending, [index](const auto &it) { return it.second.member == index; });
        std::erase_if(runs, [index](const auto &it) { return it.member == index; });
        announceMembers();
    }

    auto tickAll() -> void
    {
        for (std::size_t i = 0; i < Members; ++i)
            step(i, ClaimTick());
    }

    auto step(std::size_t index, const ClaimEvent &event) -> void
    {
        for (const auto &action : members[index].table->step(event, now))
            std::visit([this, index](const auto &it) { perform(index, it); }, action);
    }

    template <typename T>
    auto perform(std::size_t index, const T &call) -> void requires std::constructible_from<Call, T>
    {
        RC_ASSERT(!members[index].call.has_value());
        members[index].call = call;
    }

    auto perform(std::size_t index, const ClaimDecision &decision) -> void
    {
        const auto node = pending.extract(decision.number);
        RC_ASSERT(!node.empty());
        const auto &[member, name, fingerprint] = node.mapped();
        RC_ASSERT(member == index);
        if (decision.kind == ClaimDecision::Kind::Granted) {
            RC_ASSERT(!grantedRequest.contains(name));
            grantedRequest.emplace(name, decision.number);
            runs.push_back({index, decision.number, name});
            ++granted;
        }
        if (decision.kind == ClaimDecision::Kind::Replay) {
            RC_ASSERT(answers.contains(name));
            RC_ASSERT(answers.at(name) == decision.response.body);
            ++replayed;
        }
    }

    auto perform(std::size_t index, const QueryClaimOwner &action) -> void
    {
        const auto event = ClaimQueried{members[index].self.member, action.query};
        peerMessages.push_back({indexOf(action.owner), event});
    }

    auto perform(std::size_t /*index*/, const AnswerClaimQuery &action) -> void
    {
        peerMessages.push_back({indexOf(action.to), ClaimQueryAnswered{action.answer}});
    }

    static auto indexOf(const MemberName &name) -> std::size_t
    {
        return static_cast<std::size_t>(name.value().back() - '0');
    }

    Store store;
    BootTime now = BootTime(1'000s);
    std::vector<Member> members;
    std::vector<Call> lateCalls;
    std::vector<PeerMessage> peerMessages;
    std::uint64_t lastIncarnation = 0;
    RequestNumber lastNumber = 0;
    std::map<RequestNumber, PendingRequest> pending;
    std::vector<Run> runs;
    std::map<ClaimName, RequestNumber> grantedRequest; // The request that may have run per claim.
    std::map<ClaimName, std::string> answers;
};

auto genSteps() -> rc::Gen<std::vector<Step>>
{
    return rc::gen::container<std::vector<Step>>(
        rc::gen::construct<Step>(rc::gen::inRange(0, 14), rc::gen::inRange(0U, 3'000U)));
}

RC_GTEST_PROP(Claims, RunAtMostOneRequestPerKey, ())
{
    const auto steps = *rc::gen::scale(5.0, genSteps());
    auto fleet = Fleet();
    for (const auto &step : steps)
        fleet.run(step);
    fleet.settle();
    RC_CLASSIFY(fleet.granted > 0, "granted");
    RC_CLASSIFY(fleet.replayed > 0, "replayed");
}

/// One member on a store that answers at once, unless it is set unresponsive.
struct Single
{
    auto requestClaim(RequestNumber number, const char *team, const char *key,
                      const char *fingerprint = "same") -> std::optional<ClaimDecision::Kind>
    {
        decisions.clear();
        step(ClaimRequested{number, {TeamName(team), key}, fingerprint, now + 8s});
        step(ClaimTick());
        return decisions.empty() ? std::nullopt : std::optional(decisions.back().kind);
    }

    auto step(const ClaimEvent &event) -> void
    {
        now += stepInterval;
        for (const auto &action : table.step(event, now))
            std::visit([this](const auto &it) { perform(it); }, action);
    }

    template <typename T>
    auto perform(const T &call) -> void requires std::constructible_from<Call, T>
    {
        ++calls;
        if (isStoreUnresponsive) {
            unansweredCall = call;
        } else {
            step(store.apply(call));
        }
    }
    auto perform(const ClaimDecision &decision) -> void { decisions.push_back(decision); }
    auto perform(const QueryClaimOwner &) -> void { }
    auto perform(const AnswerClaimQuery &) -> void { }

    Store store;
    ClaimTable table = ClaimTable({MemberName("entry-0"), 7});
    BootTime now = BootTime(1'000s);
    Duration stepInterval = 20ms; // Time between two events.
    bool isStoreUnresponsive = false;
    std::optional<Call> unansweredCall;
    int calls = 0;
    std::vector<ClaimDecision> decisions;
};

TEST(Claims, AreSeparatePerTeam)
{
    auto single = Single();
    EXPECT_EQ(single.requestClaim(1, "red", "k"), ClaimDecision::Kind::Granted);
    EXPECT_EQ(single.requestClaim(2, "blue", "k"), ClaimDecision::Kind::Granted);
}

TEST(Claims, ReplayTheFirstAnswerToARepeat)
{
    auto single = Single();
    single.requestClaim(1, "red", "k");
    single.step(
        ClaimedRequestEnded{1, RequestOutcome::Answered, HttpResponse{201, {}, "cut pattern"}});
    EXPECT_EQ(single.requestClaim(2, "red", "k"), ClaimDecision::Kind::Replay);
    EXPECT_EQ(single.decisions.back().response.body, "cut pattern");
}

TEST(Claims, LetARepeatWaitForTheRunningRequest)
{
    auto single = Single();
    single.requestClaim(1, "red", "k");
    EXPECT_EQ(single.requestClaim(2, "red", "k"), std::nullopt);
    single.step(ClaimedRequestEnded{1, RequestOutcome::Answered, HttpResponse{200, {}, "once"}});
    ASSERT_EQ(single.decisions.size(), 1U);
    EXPECT_EQ(single.decisions[0].number, 2U);
    EXPECT_EQ(single.decisions[0].kind, ClaimDecision::Kind::Replay);
}

TEST(Claims, RefuseARepeatAfterAnUnknownOutcomeAsAlreadyStarted)
{
    auto single = Single();
    single.requestClaim(1, "red", "k");
    single.step(ClaimedRequestEnded{1, RequestOutcome::Unknown, std::nullopt});
    EXPECT_EQ(single.requestClaim(2, "red", "k"), ClaimDecision::Kind::AlreadyStarted);
}

TEST(Claims, RefuseAKeyReusedWithOtherContent)
{
    auto single = Single();
    single.requestClaim(1, "red", "k");
    EXPECT_EQ(single.requestClaim(2, "red", "k", "other"), ClaimDecision::Kind::KeyReused);
}

TEST(Claims, GrantARepeatAfterTheFirstRequestDidNotRun)
{
    auto single = Single();
    single.requestClaim(1, "red", "k");
    single.step(ClaimedRequestEnded{1, RequestOutcome::NotRun, std::nullopt});
    single.step(ClaimTick());
    EXPECT_TRUE(single.store.records.empty());
    EXPECT_EQ(single.requestClaim(2, "red", "k"), ClaimDecision::Kind::Granted);
}

TEST(Claims, AreUnavailableWhileTheStoreIsUnresponsiveAndReleasedAfterwards)
{
    auto single = Single();
    single.isStoreUnresponsive = true;
    EXPECT_EQ(single.requestClaim(1, "red", "k"), std::nullopt);
    single.now += 3s;
    single.step(ClaimTick());
    ASSERT_EQ(single.decisions.size(), 1U);
    EXPECT_EQ(single.decisions[0].kind, ClaimDecision::Kind::Unavailable);
    // The write took effect, but its answer was lost.
    single.store.apply(std::get<WriteClaims>(*single.unansweredCall));
    single.isStoreUnresponsive = false;
    single.step(ClaimsUnanswered());
    for (auto i = 0; i < 30; ++i)
        single.step(ClaimTick());
    EXPECT_TRUE(single.store.records.empty());
    EXPECT_EQ(single.requestClaim(2, "red", "k"), ClaimDecision::Kind::Granted);
}

TEST(Claims, AreBatchedIntoFewCalls)
{
    auto single = Single();
    single.isStoreUnresponsive = true;
    single.stepInterval = 0ms;
    single.requestClaim(1, "red", "first");
    for (RequestNumber it = 2; it <= 90; ++it)
        single.requestClaim(it, "red", fmt::format("k{}", it).c_str());
    single.stepInterval = 20ms;
    single.isStoreUnresponsive = false;
    single.decisions.clear();
    single.step(single.store.apply(std::get<WriteClaims>(*single.unansweredCall)));
    single.step(ClaimTick());
    single.step(ClaimTick());
    EXPECT_EQ(single.decisions.size(), 90U);
    EXPECT_LE(single.calls, 3);
}

TEST(Claims, RetainABoundedAmountOfAnswers)
{
    auto single = Single();
    const auto body = std::string(50'000, 'x');
    for (RequestNumber it = 1; it <= 300; ++it) {
        ASSERT_EQ(single.requestClaim(it, "red", fmt::format("k{}", it).c_str()),
                  ClaimDecision::Kind::Granted);
        single.step(ClaimedRequestEnded{it, RequestOutcome::Answered, HttpResponse{200, {}, body}});
    }
    EXPECT_LE(single.table.retainedBytes(), std::size_t{4} * 1024 * 1024);
    // The oldest answer has been evicted, but its request is still not run a second time.
    EXPECT_EQ(single.requestClaim(1'000, "red", "k1"), ClaimDecision::Kind::AlreadyStarted);
}

} // namespace

} // namespace shallotproxy
