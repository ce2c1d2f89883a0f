#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "settings.hpp"
#include "wire.hpp"

namespace shallotproxy::platform {

namespace {

using namespace std::chrono_literals;

constexpr auto Configuration = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/q/","service":"s1","attempts":2,"stretch":1.6,
   "slo_ms":600,"priority":1},
  {"name":"r2","host":"a.example","prefix":"/q/long/","service":"s2","public":true,"unknown":[1]}],
  "services":[{"name":"s1"},{"name":"s2","standby":true}],"limits":{"max_body_bytes":1000},
  "tenants":[{"name":"t1","api_keys":["k1","k2"],"weight":3,"cap":{"cpu":5000}}]})";

auto record(const std::string &key, const std::string &value) -> VersionedRecord
{
    auto result = VersionedRecord();
    result.key = key;
    result.value = value;
    return result;
}

auto declaration() -> FleetDeclaration
{
    return std::get<FleetDeclaration>(
        *JsonRecordCodec().decodeDeclaration(record("op/config", Configuration)));
}

TEST(PlatformWire, DecodesAConfiguration)
{
    const auto read = declaration();
    EXPECT_EQ(read.version, 7U);
    ASSERT_EQ(read.queues.size(), 2U);
    EXPECT_EQ(read.queues[0].rules.attempts, 2U);
    EXPECT_EQ(read.queues[0].rules.deadlineSlackMilliseconds, 600);
    EXPECT_TRUE(read.queues[1].isPublic);
    EXPECT_TRUE(read.rules.pools.at(PoolName("s2")).isStandby);
    EXPECT_EQ(read.teamsByApiKey.at("k2"), TeamName("t1"));
    EXPECT_EQ(read.rules.teams.at(TeamName("t1")).limit, (Resources{5'000, 0, 0}));
}

TEST(PlatformWire, DecodesEvacuationsAndWaves)
{
    const auto closed = *JsonRecordCodec().decodeDeclaration(record("op/evacuate/north", "{}"));
    EXPECT_EQ(std::get<ClosedDataCentre>(closed).dataCentre, DataCentreName("north"));
    const auto wave = std::get<UpkeepWave>(*JsonRecordCodec().decodeDeclaration(
        record("op/wave/3", R"({"wave":3,"machines":["m1","m2"],"duration_s":2.5,"cap":4})")));
    EXPECT_EQ(wave.hosts.size(), 2U);
    EXPECT_EQ(wave.maxConcurrent, 4U);
    EXPECT_EQ(wave.duration, 2'500ms);
}

TEST(PlatformWire, RejectsMalformedWorkerRecords)
{
    const auto codec = JsonRecordCodec();
    const auto validRecord = std::string(
        R"({"service":"s1","address":"10.0.0.1:80","zone":"north","state":"draining","slots":8,
            "capacity":{"cpu":1000},"labels":["a","r1"],"seq":4,"born":17})");
    const auto report = codec.decodeWorker(record("servers/i-1", validRecord));
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->name, WorkerName("i-1"));
    EXPECT_TRUE(report->isLeaving);
    EXPECT_EQ(report->startedMilliseconds, 17);
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-2", "\xff\xfe")));
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-2", "[]")));
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-2", R"({"service":5})")));
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-2", R"({"state":"ready"})")));
    auto unknownState = validRecord;
    unknownState.replace(unknownState.find("draining"), 8, "sleeping");
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-2", unknownState)));
}

/// Returns a registration with one field replaced.
auto registrationWith(const std::string &field, const std::string &value) -> std::string
{
    auto fields = std::map<std::string, std::string>{
        {"service", R"("s1")"},  {"address", R"("10.0.0.1:80")"}, {"zone", R"("north")"},
        {"state", R"("ready")"}, {"capacity", R"({"cpu":1000})"}, {"labels", "[]"},
        {"born", "17"}};
    fields[field] = value;
    auto text = std::string();
    for (const auto &[name, it] : fields)
        text += fmt::format(R"({}"{}":{})", text.empty() ? "{" : ",", name, it);
    return text + '}';
}

// An entry of another writer with a port out of range or a number too large was taken for a worker:
// it was sent calls, and sums of capacities overflowed.
TEST(PlatformWire, RejectsWorkersWithNumbersOutOfRange)
{
    const auto codec = JsonRecordCodec();
    const auto isValid = [&codec](const std::string &field, const std::string &value) {
        const auto text = registrationWith(field, value);
        return codec.decodeWorker(record("servers/i-1", text)).has_value();
    };
    EXPECT_TRUE(isValid("address", R"("10.0.0.1:65535")"));
    for (const auto *it : {"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
                           "10.0.0.1:-1", "10.0.0.1:0.5", "10.0.0.1:80x", "10.0.0.1:1e3",
                           "10.0.0.1:18446744073709551696", "host.example:80"})
        EXPECT_FALSE(isValid("address", fmt::format(R"("{}")", it))) << it;
    EXPECT_TRUE(isValid("capacity", R"({"cpu":0,"mem_mb":0.5,"gpu":64000})"));
    for (const auto *it :
         {"1e400", "1e300", "-1", "9223372036854775808", "-1e300", "\"8\"", "[]"}) {
        EXPECT_FALSE(isValid("capacity", fmt::format(R"({{"cpu":{}}})", it))) << it;
        EXPECT_FALSE(isValid("capacity", fmt::format(R"({{"mem_mb":{}}})", it))) << it;
        EXPECT_FALSE(isValid("born", it)) << it;
    }
    EXPECT_FALSE(isValid("born", "0.5"));
    EXPECT_FALSE(codec.decodeWorker(record("servers/a\r\nb", registrationWith("born", "1"))));
    EXPECT_FALSE(codec.decodeWorker(record("servers/", registrationWith("born", "1"))));
}

// Parsing a megabyte of brackets took a fifth of a second, longer than a small steward may pause.
TEST(PlatformWire, RejectsVeryDeepAndVeryLargeRecordsWithoutACrash)
{
    constexpr std::size_t Size = 1'000'000;
    constexpr std::size_t SmallSize = 5'000;
    const auto codec = JsonRecordCodec();
    const auto nested = std::string(Size, '[') + std::string(Size, ']');
    const auto small = std::string(SmallSize, '[') + std::string(SmallSize, ']');
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-1", registrationWith("zone", small))));
    EXPECT_TRUE(codec.decodeWorker(record("servers/i-1", registrationWith("other", small))));
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-1", std::string(Size, '['))));
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-1", nested)));
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-1", registrationWith("zone", nested))));
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-1", registrationWith("capacity", nested))));
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-1", registrationWith("other", nested))));
    const auto large = '"' + std::string(Size, 'x') + '"';
    EXPECT_FALSE(codec.decodeWorker(record("servers/i-1", registrationWith("address", large))));
}

RC_GTEST_PROP(PlatformWire, DecodesArbitraryBytesWithoutACrash, (const std::string &bytes))
{
    const auto codec = JsonRecordCodec();
    static_cast<void>(codec.decodeWorker(record("servers/x", bytes)));
    static_cast<void>(codec.decodeDeclaration(record("op/config", bytes)));
    static_cast<void>(codec.decodeDeclaration(record("op/wave/1", bytes)));
    static_cast<void>(JsonCallerCodec().decodeJob(bytes));
    decodePollReply(WorkerName("w"), bytes);
    parseTaskName(bytes);
    RC_ASSERT(fromBase64(toBase64(bytes)) == bytes);
}

RC_GTEST_PROP(PlatformWire, RoundTripsTaskNames,
              (std::uint32_t occurrence, std::uint32_t step, std::uint32_t index))
{
    const auto task = JobTaskId{"0123456789abcdef", occurrence, step, index};
    RC_ASSERT(parseTaskName(taskName(task)) == std::optional(task));
}

TEST(PlatformWire, DecodesAJob)
{
    const auto job = JsonCallerCodec().decodeJob(
        R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900},
            {"count":2,"after":[0],"long_running":true,"anti_affinity":1,"may_miss":1,
             "target_ms":30,"fills":true,"new_field":{}}],
            "max_runs":3,"initial_delay_ms":1000,"interval_ms":50})");
    ASSERT_TRUE(job.has_value());
    EXPECT_EQ(job->steps[0].resources, (Resources{500, 256, 0}));
    EXPECT_TRUE(job->steps[1].isLongRunning);
    EXPECT_EQ(job->steps[1].maxUnavailable, 1U);
    EXPECT_EQ(job->occurrences, 3U);
    EXPECT_TRUE(job->isScheduled());
    EXPECT_EQ(job->criticalPath([&job](std::size_t step) {
        return Duration(std::chrono::milliseconds(job->steps[step].estimatedMilliseconds));
    }),
              std::chrono::milliseconds(900));
}

TEST(PlatformWire, RejectsMalformedJobs)
{
    const auto codec = JsonCallerCodec();
    EXPECT_FALSE(codec.decodeJob(""));
    EXPECT_FALSE(codec.decodeJob("{}"));
    EXPECT_FALSE(codec.decodeJob(R"({"steps":{}})"));
    EXPECT_FALSE(codec.decodeJob(R"({"steps":[{"count":"many"}]})"));
    EXPECT_FALSE(codec.decodeJob(R"({"steps":[{"after":[0]}]})"));
    EXPECT_FALSE(codec.decodeJob(R"({"steps":[{"count":-1}]})"));
    // Sums over such tasks would overflow.
    EXPECT_FALSE(codec.decodeJob(R"({"steps":[{"count":2,"cpu":9000000000000000000}]})"));
    EXPECT_FALSE(codec.decodeJob(R"({"steps":[{"count":2,"mem_mb":-1}]})"));
    EXPECT_FALSE(codec.decodeJob(R"({"steps":[{"count":2,"estimated_ms":9000000000000000000}]})"));
    EXPECT_TRUE(codec.decodeJob(R"({"spec":"x","steps":[{"count":2,"cpu":100000000}]})"));
}

TEST(PlatformWire, DecodesCallerOperations)
{
    const auto codec = JsonCallerCodec();
    const auto kindOf = [&codec](const char *method, const char *subpath) {
        const auto call = codec.decodeOperation({method, "/", {}, {}}, subpath);
        return call ? std::optional(call->kind) : std::nullopt;
    };
    EXPECT_EQ(kindOf("POST", "5c0e7a21d94b36f8"), CallerOperation::Kind::Submit);
    EXPECT_EQ(kindOf("GET", "5c0e7a21d94b36f8"), CallerOperation::Kind::ReadJob);
    EXPECT_EQ(kindOf("DELETE", "5c0e7a21d94b36f8"), CallerOperation::Kind::CancelJob);
    EXPECT_EQ(kindOf("GET", ""), CallerOperation::Kind::CountPending);
    EXPECT_EQ(kindOf("POST", ""), std::nullopt);
    EXPECT_EQ(kindOf("POST", "5c0e7a21d94b36fx"), std::nullopt);
    EXPECT_EQ(kindOf("PUT", "5c0e7a21d94b36f8"), std::nullopt);
    EXPECT_EQ(codec.encodeState(JobState::Completed).body, R"({"state":"completed"})");
    EXPECT_EQ(codec.encodeState(JobState::Unknown).status, 410U);
}

TEST(PlatformWire, DecodesAPollReply)
{
    const auto pollResult =
        decodePollReply(WorkerName("w"),
                        R"({"clock_ms":9,"born":3,"active":[["0123456789abcdef.0.1.17",2,"c",41,7]],
            "finished":[[58,"0123456789abcdef.0.1.9",1,"lapsed","s"],[59,"strange",1,"done",""]]})");
    ASSERT_TRUE(pollResult.has_value());
    EXPECT_EQ(pollResult->active.at(0).progressPercent, 41);
    EXPECT_EQ(pollResult->active.at(0).latencyOrUsage, 7);
    EXPECT_EQ(pollResult->ended.at(0).end, RunEnd::LeaseExpired);
    EXPECT_EQ(pollResult->ended.at(0).checkpoint, "s");
    EXPECT_EQ(pollResult->ended.size(), 2U);
    EXPECT_EQ(pollResult->clockMilliseconds, 9);
    EXPECT_EQ(pollResult->startedMilliseconds, 3);
}

TEST(PlatformWire, RejectsMalformedPollReplies)
{
    const auto isDecoded = [](std::string_view body) {
        return decodePollReply(WorkerName("w"), body).has_value();
    };
    EXPECT_TRUE(isDecoded(R"({"clock_ms":9,"active":[],"finished":[]})"));
    EXPECT_FALSE(isDecoded(R"({"clock_ms":9,"active":[[]],"finished":[]})"));
    EXPECT_FALSE(isDecoded(R"({"clock_ms":9,"active":[7],"finished":[]})"));
    EXPECT_FALSE(isDecoded(R"({"clock_ms":9,"active":{},"finished":[]})"));
    EXPECT_FALSE(isDecoded(R"({"clock_ms":"9","active":[],"finished":[]})"));
    EXPECT_FALSE(isDecoded(R"({"clock_ms":9,"born":"3","active":[],"finished":[]})"));
    EXPECT_FALSE(isDecoded(R"({"clock_ms":9,"active":[]})"));
    EXPECT_FALSE(isDecoded(
        R"({"clock_ms":9,"active":[["0123456789abcdef.0.1.17",-2,"",1]],"finished":[]})"));
    EXPECT_FALSE(isDecoded(R"([1])"));
    EXPECT_FALSE(isDecoded(R"({"clock_ms":9,"active":[],"finished":[])"));
    EXPECT_FALSE(isDecoded(""));
}

TEST(PlatformWire, RoundsAndBoundsFiguresOfAPollReply)
{
    const auto poll =
        decodePollReply(WorkerName("w"),
                        R"({"clock_ms":9,"active":[["0123456789abcdef.0.1.17",2,"",1e3,7.9],
            ["0123456789abcdef.0.1.18",2,"",-4,1e300]],"finished":[]})");
    ASSERT_TRUE(poll.has_value());
    EXPECT_EQ(poll->active.at(0).progressPercent, 100);
    EXPECT_EQ(poll->active.at(0).latencyOrUsage, 7);
    EXPECT_EQ(poll->active.at(1).progressPercent, 0);
    EXPECT_EQ(poll->active.at(1).latencyOrUsage, 1'000'000'000'000'000);
}

TEST(DeclarationCache, AdmitsByTheLongestPrefixAndTheApiKey)
{
    const auto now = BootTime(1h);
    auto cache = DeclarationCache(4s);
    EXPECT_EQ(cache.admit("a.example", "/q/1", "k1", now).error().kind,
              CallRefusal::Kind::NoConfiguration);
    cache.update(std::make_shared<const FleetDeclaration>(declaration()));
    cache.confirmed(now);
    EXPECT_EQ(cache.admit("a.example", "/q/1", "k1", now)->team, TeamName("t1"));
    EXPECT_EQ(cache.admit("a.example", "/q/1", "k1", now)->subpath, "1");
    EXPECT_EQ(cache.admit("a.example", "/q/long/1", "", now)->queue->name, QueueName("r2"));
    EXPECT_EQ(cache.admit("a.example", "/q/1", "k9", now).error().kind,
              CallRefusal::Kind::UnknownKey);
    EXPECT_EQ(cache.admit("b.example", "/q/1", "k1", now).error().kind, CallRefusal::Kind::NoQueue);
}

TEST(DeclarationCache, RefusesApiKeysOnceItIsNotFresh)
{
    const auto now = BootTime(1h);
    auto cache = DeclarationCache(4s);
    cache.update(std::make_shared<const FleetDeclaration>(declaration()));
    cache.confirmed(now);
    EXPECT_TRUE(cache.admit("a.example", "/q/1", "k1", now + 3'900ms).has_value());
    EXPECT_EQ(cache.admit("a.example", "/q/1", "k1", now + 4s).error().kind,
              CallRefusal::Kind::Stale);
    EXPECT_TRUE(cache.admit("a.example", "/q/long/1", "", now + 4s).has_value());
    cache.confirmed(now + 5s);
    EXPECT_TRUE(cache.admit("a.example", "/q/1", "k1", now + 6s).has_value());
}

TEST(DeclarationCache, KeepsTheHighestVersion)
{
    auto cache = DeclarationCache(4s);
    auto old = declaration();
    old.version = 6;
    EXPECT_TRUE(cache.update(std::make_shared<const FleetDeclaration>(declaration())));
    EXPECT_FALSE(cache.update(std::make_shared<const FleetDeclaration>(old)));
    EXPECT_EQ(cache.current()->version, 7U);
}

TEST(PlatformSettings, ErrorNamesAFileThatCannotBeRead)
{
    const auto missing = loadSettings("/nonexistent/boot.json");
    ASSERT_FALSE(missing.has_value());
    EXPECT_EQ(missing.error().kind, SettingsError::Kind::Unreadable);
    EXPECT_NE(missing.error().message().find("/nonexistent/boot.json"), std::string::npos);
}

} // namespace

} // namespace shallotproxy::platform
