#include <algorithm>
#include <iostream>

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

/// How the service misbehaves. `POST /fault` sets it: {"mode": "none" | "down" | "slow" |
/// "lose-answer", "milliseconds": delay of "slow", "count": calls that "lose-answer" hits, "match":
/// only writes of a key that contains this}.
struct Fault
{
    QString mode = u"none"_s;
    int milliseconds = 0;
    int count = 0;
    QByteArray match;
};

class StoreServer
{
public:
    StoreServer()
        : m_server(bounds(), [this](const HttpRequest &request, HttpResponder responder) {
            handle(request, std::move(responder));
        })
    {
        m_clock.start();
    }

    auto listen(const std::string &endpoint) { return m_server.listen(endpoint); }

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
        if (m_fault.mode == "down"_L1)
            return;
        ++m_calls;
        const auto answer = m_table.call(request.path, body, m_clock.elapsed());
        if (m_fault.mode == "lose-answer"_L1 && m_fault.count > 0 && writesMatch(body)) {
            --m_fault.count;
            return;
        }
        const auto status = answer.isEmpty() ? NotFound : Ok;
        const auto response = jsonResponse(
            status, QJsonDocument(answer).toJson(QJsonDocument::Compact).toStdString());
        if (m_fault.mode != "slow"_L1) {
            responder.answer(response);
            return;
        }
        auto held = std::make_shared<HttpResponder>(std::move(responder));
        QTimer::singleShot(m_fault.milliseconds, &m_server,
                           [held, response] { held->answer(response); });
    }

    [[nodiscard]] auto writesMatch(const QJsonObject &body) const -> bool
    {
        const auto operations = body.value("success"_L1).toArray();
        return std::any_of(operations.begin(), operations.end(), [this](const auto &it) {
            const auto put = it.toObject().value("request_put"_L1).toObject();
            const auto key = QByteArray::fromBase64(put.value("key"_L1).toString().toLatin1());
            return !key.isEmpty() && key.contains(m_fault.match);
        });
    }

    auto setFault(const QJsonObject &body) -> void
    {
        m_fault.match = body.value("match"_L1).toString().toUtf8();
        m_fault.mode = body.value("mode"_L1).toString(u"none"_s);
        m_fault.milliseconds = body.value("milliseconds"_L1).toInt();
        m_fault.count = body.value("count"_L1).toInt(Never);
    }

    standin::KeyValueTable m_table;
    Fault m_fault;
    std::uint64_t m_calls = 0;
    QElapsedTimer m_clock;
    HttpServer m_server;
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
    auto server = StoreServer();
    const auto result = server.listen(endpoint);
    if (!result) {
        std::cerr << result.error().message() << '\n';
        return 4;
    }
    return QCoreApplication::exec();
}
