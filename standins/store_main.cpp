#include <algorithm>
#include <iostream>
#include <memory>
#include <vector>

#include <QCoreApplication>
#include <QDateTime>
#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>

#include <boost/program_options.hpp>

#include "key_value_table.hpp"
#include "shallotproxy/connection.hpp"

namespace {

using namespace shallotproxy;
using namespace Qt::StringLiterals;

namespace options = boost::program_options;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr auto UnlimitedCalls = 1 << 30;

/// Fault that the service simulates. `POST /fault` sets it with these fields:
/// - "mode": "none"; "down" closes the connection of each call without a response and without
///   executing the call; "silent" accepts calls without executing them and never responds;
///   "refuse" stops listening for "milliseconds"; "slow" responds after "milliseconds";
///   "lose-answer" executes a write and closes the connection without a response.
/// - "calls": the affected calls: "all", "writes", "reads" or "leases".
/// - "count": the number of affected calls; all by default.
/// - "match": affects only writes of a key that contains this text.
struct Fault
{
    QString mode = u"none"_s;
    QString calls = u"all"_s;
    int milliseconds = 0;
    int count = 0;
    QByteArray match;
};

auto isWrite(const HttpRequest &request) -> bool
{
    return request.body.find("request_put") != std::string::npos
        || request.body.find("request_delete_range") != std::string::npos;
}

auto isLease(const HttpRequest &request) -> bool
{
    return request.path.find("/lease/") != std::string::npos;
}

/// Serves the key-value table over HTTP. `/fault` sets a fault; `/calls` returns the number of
/// calls that were executed.
class StoreServer : public QObject
{
public:
    explicit StoreServer(std::string endpoint)
        : m_endpoint(std::move(endpoint))
    {
        m_clock.start();
    }

    auto listen() -> Expected<void, ListenError>
    {
        m_server = std::make_unique<HttpServer>(
            bounds(), [this](const HttpRequest &request, HttpResponder responder) {
                handle(request, std::move(responder));
            });
        return m_server->listen(m_endpoint);
    }

private:
    static auto bounds() -> HttpBounds
    {
        auto bounds = HttpBounds();
        bounds.bodyBytes = std::size_t{8} * 1024 * 1024;
        return bounds;
    }

    auto handle(const HttpRequest &request, HttpResponder responder) -> void
    {
        const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
        if (request.path == "/fault") {
            setFault(body);
            responder.answer(jsonResponse(Ok, "{}"));
            return;
        }
        if (request.path == "/calls") {
            responder.answer(jsonResponse(Ok, std::to_string(m_calls)));
            return;
        }
        const auto isAffected = consumeFault(request);
        if (isAffected && m_fault.mode == "down"_L1)
            return;
        if (isAffected && m_fault.mode == "silent"_L1) {
            m_unanswered.push_back(std::move(responder));
            return;
        }
        ++m_calls;
        const auto answer = m_table.call(request.path, body, m_clock.elapsed());
        if (isAffected && m_fault.mode == "lose-answer"_L1)
            return;
        const auto status = answer.isEmpty() ? NotFound : Ok;
        const auto response = jsonResponse(
            status, QJsonDocument(answer).toJson(QJsonDocument::Compact).toStdString());
        if (!isAffected || m_fault.mode != "slow"_L1) {
            responder.answer(response);
            return;
        }
        auto pending = std::make_shared<HttpResponder>(std::move(responder));
        QTimer::singleShot(m_fault.milliseconds, this,
                           [pending, response] { pending->answer(response); });
    }

    [[nodiscard]] auto writesMatchingKey(const HttpRequest &request) const -> bool
    {
        const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
        const auto operations = body.value("success"_L1).toArray();
        return std::any_of(operations.begin(), operations.end(), [this](const auto &it) {
            const auto put = it.toObject().value("request_put"_L1).toObject();
            const auto key = QByteArray::fromBase64(put.value("key"_L1).toString().toLatin1());
            return !key.isEmpty() && key.contains(m_fault.match);
        });
    }

    /// Returns whether the fault affects this call, and if so, counts the call against its limit.
    auto consumeFault(const HttpRequest &request) -> bool
    {
        if (m_fault.mode == "none"_L1 || m_fault.count <= 0)
            return false;
        const auto isSelected = m_fault.calls == "all"_L1
            || (m_fault.calls == "writes"_L1 && isWrite(request))
            || (m_fault.calls == "leases"_L1 && isLease(request))
            || (m_fault.calls == "reads"_L1 && !isWrite(request) && !isLease(request));
        // Only a write has an effect, so only its response can be lost after the effect.
        if (!isSelected || (m_fault.mode == "lose-answer"_L1 && !isWrite(request)))
            return false;
        if (!m_fault.match.isEmpty() && !writesMatchingKey(request))
            return false;
        --m_fault.count;
        return true;
    }

    auto setFault(const QJsonObject &body) -> void
    {
        m_fault.match = body.value("match"_L1).toString().toUtf8();
        m_fault.mode = body.value("mode"_L1).toString(u"none"_s);
        m_fault.calls = body.value("calls"_L1).toString(u"all"_s);
        m_fault.milliseconds = body.value("milliseconds"_L1).toInt();
        m_fault.count = body.value("count"_L1).toInt(UnlimitedCalls);
        m_unanswered.clear();
        if (m_fault.mode == "refuse"_L1)
            QTimer::singleShot(RefuseDelayMilliseconds, this, [this] { stopListening(); });
    }

    auto stopListening() -> void
    {
        m_server.reset();
        QTimer::singleShot(m_fault.milliseconds, this, [this] {
            const auto result = listen();
            if (!result)
                std::cerr << result.error().message() << '\n';
        });
    }

    static constexpr int RefuseDelayMilliseconds = 20; // lets the response to `POST /fault` be sent

    std::string m_endpoint;
    standin::KeyValueTable m_table;
    Fault m_fault;
    std::uint64_t m_calls = 0;
    QElapsedTimer m_clock;
    std::vector<HttpResponder> m_unanswered;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto app = QCoreApplication(argc, argv);
    auto endpoint = std::string();
    auto description = options::options_description("Key-value service stand-in");
    description.add_options()("listen", options::value(&endpoint)->required(), "ADDRESS:PORT");
    auto values = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &ec) {
        std::cerr << ec.what() << '\n' << description;
        return 2;
    }
    auto server = StoreServer(endpoint);
    const auto result = server.listen();
    if (!result) {
        std::cerr << result.error().message() << '\n';
        return 4;
    }
    return QCoreApplication::exec();
}
