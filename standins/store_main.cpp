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
constexpr auto Never = 1 << 30;

/// How the service misbehaves. `POST /fault` sets it:
/// - "mode": "none"; "down" closes each call's connection unanswered, and without effect; "silent"
///   takes calls and never answers; "refuse" stops listening for "milliseconds"; "slow" answers
///   after "milliseconds"; "lose-answer" closes the connection after a write took effect.
/// - "calls": "all", "writes", "reads" or "leases": which calls are hit.
/// - "count": how many calls are hit, all by default.
/// - "match": only writes of a key that contains this.
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
        const auto isHit = takeHit(request);
        if (isHit && m_fault.mode == "down"_L1)
            return;
        if (isHit && m_fault.mode == "silent"_L1) {
            m_silenced.push_back(std::move(responder));
            return;
        }
        ++m_calls;
        const auto answer = m_table.call(request.path, body, m_clock.elapsed());
        if (isHit && m_fault.mode == "lose-answer"_L1)
            return;
        const auto status = answer.isEmpty() ? NotFound : Ok;
        const auto response = jsonResponse(
            status, QJsonDocument(answer).toJson(QJsonDocument::Compact).toStdString());
        if (!isHit || m_fault.mode != "slow"_L1) {
            responder.answer(response);
            return;
        }
        auto held = std::make_shared<HttpResponder>(std::move(responder));
        QTimer::singleShot(m_fault.milliseconds, this,
                           [held, response] { held->answer(response); });
    }

    [[nodiscard]] auto writesMatch(const HttpRequest &request) const -> bool
    {
        const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
        const auto operations = body.value("success"_L1).toArray();
        return std::any_of(operations.begin(), operations.end(), [this](const auto &it) {
            const auto put = it.toObject().value("request_put"_L1).toObject();
            const auto key = QByteArray::fromBase64(put.value("key"_L1).toString().toLatin1());
            return !key.isEmpty() && key.contains(m_fault.match);
        });
    }

    /// Whether the fault hits this call; counts it if it does.
    auto takeHit(const HttpRequest &request) -> bool
    {
        if (m_fault.mode == "none"_L1 || m_fault.count <= 0)
            return false;
        const auto isOfKind = m_fault.calls == "all"_L1
            || (m_fault.calls == "writes"_L1 && isWrite(request))
            || (m_fault.calls == "leases"_L1 && isLease(request))
            || (m_fault.calls == "reads"_L1 && !isWrite(request) && !isLease(request));
        // An answer can only be lost after an effect if the call has one.
        if (!isOfKind || (m_fault.mode == "lose-answer"_L1 && !isWrite(request)))
            return false;
        if (!m_fault.match.isEmpty() && !writesMatch(request))
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
        m_fault.count = body.value("count"_L1).toInt(Never);
        m_silenced.clear();
        if (m_fault.mode == "refuse"_L1)
            QTimer::singleShot(RefuseDelay, this, [this] { refuse(); });
    }

    auto refuse() -> void
    {
        m_server.reset();
        QTimer::singleShot(m_fault.milliseconds, this, [this] {
            const auto result = listen();
            if (!result)
                std::cerr << result.error().message() << '\n';
        });
    }

    static constexpr int RefuseDelay = 20; // ms, in which the answer to the command gets out

    std::string m_endpoint;
    standin::KeyValueTable m_table;
    Fault m_fault;
    std::uint64_t m_calls = 0;
    QElapsedTimer m_clock;
    std::vector<HttpResponder> m_silenced;
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
