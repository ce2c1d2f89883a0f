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
constexpr auto UnansweredMilliseconds = 4'000; // time until an unanswered connection closes

auto parseBody(const HttpRequest &request) -> QJsonObject
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
}

auto respond(const QJsonObject &json) -> HttpResponse
{
    return jsonResponse(Ok, QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString());
}

/// Keeps the connection of an unanswered request open, as an unresponsive worker does.
auto keepOpen(HttpResponder responder) -> void
{
    const auto pending = std::make_shared<HttpResponder>(std::move(responder));
    QTimer::singleShot(UnansweredMilliseconds, qApp, [pending] {});
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto app = QCoreApplication(argc, argv);
    auto firstPort = 0;
    auto count = 0;
    auto control = std::string();
    auto description =
        options::options_description("Worker stand-in: workers and the platform's host list");
    description.add_options()("first-port", options::value(&firstPort)->required(), "first port")(
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
        const auto address = fmt::format("127.0.0.1:{}", firstPort + i);
        const auto handler = [&platform, address](const HttpRequest &request,
                                                  HttpResponder responder) {
            const auto answer = platform.handleWorker(address, request.path, parseBody(request));
            if (answer) {
                responder.answer(respond(*answer));
            } else {
                keepOpen(std::move(responder));
            }
        };
        if (!listen(address, handler))
            return 4;
    }
    const auto handler = [&platform](const HttpRequest &request, HttpResponder responder) {
        responder.answer(respond(platform.handlePlatform(request.path, parseBody(request))));
    };
    if (!listen(control, handler))
        return 4;
    return QCoreApplication::exec();
}
