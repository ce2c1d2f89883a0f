#include <iostream>
#include <memory>
#include <vector>

#include <QCoreApplication>
#include <QJsonDocument>
#include <QTimer>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "shallotproxy/connection.hpp"
#include "worker_platform.hpp"

namespace {

using namespace shallotproxy;

namespace options = boost::program_options;

constexpr unsigned Ok = 200;
constexpr auto SilenceMilliseconds = 4'000; // a silent worker's connection stays open for this long

auto objectOf(const HttpRequest &request) -> QJsonObject
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
}

auto respond(const QJsonObject &json) -> HttpResponse
{
    return jsonResponse(Ok, QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString());
}

/// Keeps an unanswered request open for a while, as a silent worker does.
auto holdOpen(HttpResponder responder) -> void
{
    const auto held = std::make_shared<HttpResponder>(std::move(responder));
    QTimer::singleShot(SilenceMilliseconds, qApp, [held] {});
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto app = QCoreApplication(argc, argv);
    auto first = 0;
    auto count = 0;
    auto control = std::string();
    auto description =
        options::options_description("Worker stand-in: workers and the platform's host list");
    description.add_options()("first-port", options::value(&first)->required(), "first port")(
        "count", options::value(&count)->required(),
        "number of workers")("platform", options::value(&control)->required(),
                             "ADDRESS:PORT of the host list, reboots, faults and counts");
    auto values = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &ec) {
        std::cerr << ec.what() << '\n' << description;
        return 2;
    }
    auto platform = standin::WorkerPlatform();
    auto servers = std::vector<std::unique_ptr<HttpServer>>();
    const auto listen = [&servers](const std::string &endpoint, HttpServer::Handler handler) {
        servers.push_back(std::make_unique<HttpServer>(HttpBounds(), std::move(handler)));
        const auto result = servers.back()->listen(endpoint);
        if (!result)
            std::cerr << result.error().message() << '\n';
        return result.has_value();
    };
    for (auto i = 0; i < count; ++i) {
        const auto address = fmt::format("127.0.0.1:{}", first + i);
        const auto handler = [&platform, address](const HttpRequest &request,
                                                  HttpResponder responder) {
            const auto answer = platform.handleWorker(address, request.path, objectOf(request));
            if (answer) {
                responder.answer(respond(*answer));
            } else {
                holdOpen(std::move(responder));
            }
        };
        if (!listen(address, handler))
            return 4;
    }
    const auto handler = [&platform](const HttpRequest &request, HttpResponder responder) {
        responder.answer(respond(platform.handlePlatform(request.path, objectOf(request))));
    };
    if (!listen(control, handler))
        return 4;
    return QCoreApplication::exec();
}
