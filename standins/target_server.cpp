#include "target_server.hpp"

#include <algorithm>
#include <cstdlib>

#include <QHostAddress>
#include <QPointer>
#include <QTimer>

#include <fmt/format.h>

namespace standin {

namespace {

using shallotproxy::HttpRequest;
using shallotproxy::HttpResponse;

constexpr unsigned Ok = 200;
constexpr unsigned InternalServerError = 500;

auto workMilliseconds(const HttpRequest &request) -> int
{
    return std::atoi(std::string(request.header("Work-Ms")).c_str());
}

} // namespace

struct TargetServer::Client
{
    QPointer<QTcpSocket> socket;
    shallotproxy::HttpRequestParser parser = shallotproxy::HttpRequestParser({});
    bool isBusy = false;
    bool isUnresponsive = false;
    bool isCounted = false; // its request is included in the counts of running requests
    std::string team;
};

TargetServer::TargetServer(quint16 port, TargetLedger &ledger)
    : m_port(port)
    , m_ledger(ledger)
{
    connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
    m_server.listen(QHostAddress::LocalHost, port);
}

auto TargetServer::setFault(TargetFault fault, int lateMilliseconds) -> void
{
    m_fault = fault;
    m_lateMilliseconds = lateMilliseconds;
    std::erase_if(m_clients, [](const auto &it) { return it.expired(); });
    for (const auto &it : m_clients) {
        const auto client = it.lock();
        if (fault == TargetFault::SilentOpen)
            client->isUnresponsive = true;
        if (fault == TargetFault::Refuse)
            endRun(*client);
        const auto closesConnections = fault == TargetFault::Refuse || fault == TargetFault::Cut;
        if (closesConnections && client->socket)
            client->socket->abort();
    }
    const auto stopsListening = fault == TargetFault::Leave || fault == TargetFault::Refuse;
    if (stopsListening)
        m_server.close();
    if (!stopsListening && !m_server.isListening())
        m_server.listen(QHostAddress::LocalHost, m_port);
}

auto TargetServer::accept() -> void
{
    while (auto *socket = m_server.nextPendingConnection()) {
        auto client = std::make_shared<Client>();
        client->socket = socket;
        m_clients.push_back(client);
        connect(socket, &QTcpSocket::readyRead, this, [this, client] { read(client); });
        connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    }
}

auto TargetServer::read(const std::shared_ptr<Client> &client) -> void
{
    if (!client->socket || client->isBusy)
        return;
    client->parser.append(client->socket->readAll());
    auto parsed = client->parser.next();
    if (!parsed) {
        client->socket->abort();
        return;
    }
    if (*parsed)
        run(client, (*parsed)->request);
}

auto TargetServer::run(const std::shared_ptr<Client> &client, const HttpRequest &request) -> void
{
    client->isBusy = true;
    client->isCounted = true;
    client->team = std::string(request.header("Team"));
    countRun(request);
    const auto extraMilliseconds = m_fault == TargetFault::Late ? m_lateMilliseconds : 0;
    const auto failsFast = m_fault == TargetFault::FailFast;
    const auto delayMilliseconds = failsFast ? 0 : workMilliseconds(request) + extraMilliseconds;
    QTimer::singleShot(delayMilliseconds, Qt::PreciseTimer, this,
                       [this, client, request] { answer(client, request); });
}

auto TargetServer::countRun(const HttpRequest &request) -> void
{
    ++m_counts.runs;
    const auto id = std::string(request.header("Shallotproxy-Request"));
    if (!id.empty() && ++m_ledger.runsOfRequest[id] > 1)
        ++m_counts.repeats;
    if (request.body.starts_with("once ") && ++m_ledger.runsOfBody[request.body] > 1)
        ++m_ledger.repeatedBodies;
    ++m_counts.running;
    m_counts.maxRunning = std::max(m_counts.maxRunning, m_counts.running);
    auto &team = m_ledger.teams[std::string(request.header("Team"))];
    ++team.running;
    team.maxRunning = std::max(team.maxRunning, team.running);
}

auto TargetServer::endRun(Client &client) -> void
{
    if (!client.isCounted)
        return;
    client.isCounted = false;
    --m_counts.running;
    --m_ledger.teams[client.team].running;
}

auto TargetServer::answer(const std::shared_ptr<Client> &client, const HttpRequest &request) -> void
{
    endRun(*client);
    client->isBusy = false;
    if (!client->socket || client->isUnresponsive || m_fault == TargetFault::Silent)
        return;
    const auto status = m_fault == TargetFault::FailFast ? InternalServerError : Ok;
    const auto response = HttpResponse{
        status, {{"Content-Type", "text/plain"}, {"Echo-Path", request.path}}, request.body};
    const auto bytes = shallotproxy::serializeResponse(response, true);
    switch (m_fault) {
    case TargetFault::Close:
        client->socket->abort();
        return;
    case TargetFault::Partial:
        client->socket->write(bytes.first(bytes.size() / 2));
        client->socket->flush();
        client->socket->abort();
        return;
    case TargetFault::NoEnd:
        client->socket->write("HTTP/1.1 200 OK\r\n\r\npartial");
        client->socket->flush();
        client->socket->abort();
        return;
    case TargetFault::Crossed:
        client->socket->write(bytes + "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed");
        return;
    default:
        client->socket->write(bytes);
        read(client);
    }
}

} // namespace standin
