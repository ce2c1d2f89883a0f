#include <fmt/format.h>
#include <gtest/gtest.h>

#include <QTcpServer>

#include "fake_fleet.hpp"
#include "fake_ports.hpp"
#include "qt_loop.hpp"
#include "shallotproxy/member/caller_duty.hpp"
#include "wire.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto Job = "00000000000000d1";
constexpr auto JobBody =
    R"({"spec":"","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":100}]})";

constexpr auto PublicLimit = Resources{3'000, 0, 0};

/// A store that one member doesn't reach for a while: commits are left unanswered and, if
/// `areCarriedOut`, carried out when the member reaches the store again.
class DistantStore final : public RecordStore
{
public:
    explicit DistantStore(RecordStore &store)
        : m_store(store)
    { }

    auto commit(const StoreCommit &commit, RecordStoreCallback<std::uint64_t> reply)
        -> void override
    {
        if (!isCut) {
            m_store.commit(commit, std::move(reply));
            return;
        }
        held.push_back(commit);
        QTimer::singleShot(50, [reply = std::move(reply)] {
            reply(tl::unexpected(StoreFailure{StoreFailure::Kind::Unknown, "no answer", {}}));
        });
    }
    auto read(const std::string &key, RecordStoreCallback<StoreRead> reply) -> void override
    {
        m_store.read(key, std::move(reply));
        if (auto action = std::exchange(afterRead, {}))
            action();
    }
    auto readAll(const std::string &prefix, RecordStoreCallback<StoreRead> reply) -> void override
    {
        m_store.readAll(prefix, std::move(reply));
    }
    auto watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait,
               RecordStoreCallback<StoreRead> reply) -> void override
    {
        m_store.watch(prefix, after, wait, std::move(reply));
    }
    auto grantLease(std::chrono::milliseconds duration, RecordStoreCallback<GrantedLease> reply)
        -> void override
    {
        m_store.grantLease(duration, std::move(reply));
    }
    auto renewLease(StoreLease lease, RecordStoreCallback<GrantedLease> reply) -> void override
    {
        m_store.renewLease(lease, std::move(reply));
    }
    auto revokeLease(StoreLease) -> void override { }

    auto carryOutHeld() -> void
    {
        for (const auto &it : std::exchange(held, {}))
            m_store.commit(it, [](const auto &) {});
    }

    bool isCut = false;
    std::vector<StoreCommit> held;
    /// Called once, when the store has been read next.
    std::function<void()> afterRead;

private:
    RecordStore &m_store;
};

auto freeEndpoint() -> std::string
{
    auto server = QTcpServer();
    server.listen(QHostAddress::LocalHost);
    return fmt::format("127.0.0.1:{}", server.serverPort());
}

/// A member that serves callers and isn't the steward, as there is none.
class Member
{
public:
    explicit Member(RecordStore &records)
        : store(records)
    {
        auto declaration = std::make_shared<FleetDeclaration>();
        declaration->version = 1;
        declaration->rules = *test::testRules(2);
        declaration->rules.teams[TeamName()].limit = PublicLimit;
        auto queue = JobQueue();
        queue.name = QueueName("quotes");
        queue.hostName = "127.0.0.1";
        queue.pathPrefix = "/queue/";
        queue.isPublic = true;
        queue.rules.pool = PoolName(test::TestPool);
        declaration->queues = {queue};
        m_context.fleet.declarationCache.update(declaration);
        m_context.fleet.declarationCache.confirmed(BootClock::now() + 1h);
        EXPECT_TRUE(m_callers.listen());
    }

    /// Sends a caller's request about the job; the status arrives in the result.
    auto send(const std::string &method, const std::string &body = {}) -> std::shared_ptr<unsigned>
    {
        auto request = HttpRequest();
        request.method = method;
        request.path = fmt::format("/queue/{}", Job);
        request.headers.push_back({"Host", "127.0.0.1"});
        request.body = body;
        auto status = std::make_shared<unsigned>(0);
        m_client.send(m_context.settings.callersEndpoint, request, 5'000,
                      [status](const TargetReply &reply) { *status = reply ? reply->status : 1; });
        return status;
    }
    /// Returns the status that the caller receives.
    auto call(const std::string &method, const std::string &body = {}) -> unsigned
    {
        const auto status = send(method, body);
        test::runUntil([&] { return *status != 0; }, 6'000);
        return *status;
    }

    DistantStore store;

private:
    static auto settings() -> RuntimeSettings
    {
        auto settings = RuntimeSettings();
        settings.callersEndpoint = freeEndpoint();
        settings.readinessEndpoint = freeEndpoint();
        settings.peerEndpoint = freeEndpoint();
        return settings;
    }

    test::FakeWorkerPort m_workers;
    test::FakeHostPort m_hosts;
    platform::JsonRecordCodec m_records;
    platform::JsonCallerCodec m_codec;
    EventLog m_log{"test"};
    Metrics m_metrics;
    RuntimeContext m_context{
        settings(), ObservedStore(store), m_workers, m_hosts, m_records, m_codec, m_log,
        m_metrics,  FleetState(4s)};
    QObject m_parent;
    StewardDuty m_steward{m_context, &m_parent};
    CallerDuty m_callers{m_context, m_steward, &m_parent};
    HttpClient m_client{HttpBounds()};
};

struct Application
{
    Application() { test::ensureApplication(); }
};

struct TwoMembers
{
    auto isStored(const std::string &suffix = {}) -> bool
    {
        auto found = std::optional<bool>();
        store.read(fmt::format("jobs/{}{}", Job, suffix),
                   [&](const auto &reply) { found = !reply->records.empty(); });
        test::runUntil([&] { return found.has_value(); });
        return *found;
    }

    auto storedJob() -> std::optional<JobSpec>
    {
        auto found = std::optional<StoreRead>();
        store.read(fmt::format("jobs/{}", Job), [&](const auto &reply) { found = *reply; });
        test::runUntil([&] { return found.has_value(); });
        if (found->records.empty())
            return std::nullopt;
        const auto spec = decodeJob(found->records.front().value);
        return spec ? std::optional(*spec) : std::nullopt;
    }

    Application application; // sockets need it
    test::FakeRecordStore store;
    Member cutOff{store};
    Member other{store};
};

// The member went on to repeat the write, and the job was stored and ran after its cancelling had
// been acknowledged.
TEST(EarlyCancellation, HoldsAgainstASubmissionThatIsStillRepeated)
{
    auto members = TwoMembers();
    members.cutOff.store.isCut = true;
    const auto submitted = members.cutOff.send("POST", JobBody);
    ASSERT_TRUE(test::runUntil([&] { return !members.cutOff.store.held.empty(); }));
    EXPECT_EQ(members.other.call("DELETE"), 410U);
    members.cutOff.store.isCut = false;
    EXPECT_TRUE(test::runUntil([&] { return *submitted != 0; }, 6'000));
    EXPECT_EQ(*submitted, 503U);
    EXPECT_FALSE(members.isStored());
}

// The store may carry out an unanswered write seconds later.
TEST(EarlyCancellation, HoldsAgainstAWriteThatIsCarriedOutLate)
{
    auto members = TwoMembers();
    members.cutOff.store.isCut = true;
    const auto submitted = members.cutOff.send("POST", JobBody);
    ASSERT_TRUE(test::runUntil([&] { return *submitted != 0; }, 6'000));
    EXPECT_EQ(*submitted, 504U);
    EXPECT_EQ(members.other.call("DELETE"), 410U);
    members.cutOff.store.carryOutHeld();
    EXPECT_FALSE(members.isStored());
    EXPECT_EQ(members.other.call("POST", JobBody), 503U); // submitted again
    EXPECT_EQ(members.other.call("GET"), 410U);
    EXPECT_FALSE(members.isStored());
}

// A write that came first wins, and the job is cancelled as any other.
TEST(EarlyCancellation, LeavesStoredJobsToTheSteward)
{
    auto members = TwoMembers();
    EXPECT_EQ(members.cutOff.call("POST", JobBody), 200U);
    EXPECT_EQ(members.other.call("DELETE"), 200U);
    EXPECT_EQ(members.other.call("POST", JobBody), 200U); // a repeated submission
    EXPECT_TRUE(members.isStored());
}

// The job was stored and its first task started between two reads of the member. Its cancelling was
// acknowledged as that of an ended job, and the job ran on.
TEST(EarlyCancellation, IsKeptForAJobThatIsStoredMeanwhile)
{
    auto members = TwoMembers();
    members.other.store.afterRead = [&members] {
        auto spec = test::oneStepJob(Job, test::shortStep(2));
        spec.team = {};
        members.store.put(fmt::format("jobs/{}", Job), encodeJob(spec));
        members.store.put(fmt::format("progress/{}", Job), encodeProgress({}));
    };
    EXPECT_EQ(members.other.call("DELETE"), 200U);
    EXPECT_TRUE(members.isStored("/cancel"));
}

TEST(EarlyCancellation, IsNeedlessForAJobThatHasEnded)
{
    auto members = TwoMembers();
    auto progress = JobProgress();
    progress.outcome = static_cast<std::uint8_t>(JobOutcome::Completed);
    members.store.put(fmt::format("progress/{}", Job), encodeProgress(progress));
    EXPECT_EQ(members.other.call("DELETE"), 200U);
    EXPECT_FALSE(members.isStored("/cancel"));
}

TEST(Submissions, KeepTheLimitOfTheirTeam)
{
    auto members = TwoMembers();
    EXPECT_EQ(members.other.call("POST", JobBody), 200U);
    const auto job = members.storedJob();
    ASSERT_TRUE(job.has_value());
    EXPECT_EQ(job->teamLimit, PublicLimit);
}

} // namespace

} // namespace shallotproxy
