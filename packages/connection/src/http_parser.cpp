#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <fmt/format.h>

#include "shallotproxy/connection/http/http_parser.hpp"

namespace shallotproxy {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned NoContent = 204;

template <typename Parser>
auto makeParser(const HttpBounds &bounds) -> std::unique_ptr<Parser>
{
    auto parser = std::make_unique<Parser>();
    parser->eager(true);
    parser->header_limit(static_cast<std::uint32_t>(bounds.headerBytes));
    parser->body_limit(bounds.bodyBytes);
    return parser;
}

auto toError(const boost::system::error_code &ec) -> HttpError
{
    if (ec == http::error::body_limit)
        return {HttpError::Kind::BodyTooLong};
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return {HttpError::Kind::HeaderTooLong};
    return {HttpError::Kind::Malformed};
}

template <typename Fields>
auto copyHeaders(const Fields &fields) -> std::vector<HttpHeader>
{
    auto headers = std::vector<HttpHeader>();
    for (const auto &it : fields)
        headers.push_back({std::string(it.name_string()), std::string(it.value())});
    return headers;
}

/// Returns whether a line of the head ends without a carriage return.
auto hasBareLineFeed(QByteArrayView head) -> bool
{
    for (auto at = head.indexOf('\n'); at >= 0; at = head.indexOf('\n', at + 1)) {
        if (at == 0 || head[at - 1] != '\r')
            return true;
    }
    return false;
}

/// Feeds the head of a message to the parser as soon as the whole head is in the buffer. The parser
/// reports a malformed line early or late depending on how the bytes were split; a head that is
/// parsed in one call has the same result however it arrived.
template <typename Parser>
auto feedHead(Parser &parser, QByteArray &buf, const HttpBounds &bounds)
    -> Expected<void, HttpError>
{
    const auto terminator = QByteArrayView("\r\n\r\n");
    const auto position = buf.indexOf(terminator);
    const auto size =
        static_cast<std::size_t>(position < 0 ? buf.size() : position + terminator.size());
    // Known before the end of the head, and the same for every part of it that has arrived.
    if (hasBareLineFeed(QByteArrayView(buf).first(static_cast<qsizetype>(size))))
        return tl::unexpected(HttpError{HttpError::Kind::Malformed});
    if (size > bounds.headerBytes)
        return tl::unexpected(HttpError{HttpError::Kind::HeaderTooLong});
    if (position < 0)
        return {};
    auto ec = boost::system::error_code();
    const auto n = parser.put(boost::asio::buffer(buf.constData(), size), ec);
    if (ec && ec != http::error::need_more)
        return tl::unexpected(toError(ec));
    if (n != size || !parser.is_header_done())
        return tl::unexpected(HttpError{HttpError::Kind::Malformed});
    buf.remove(0, static_cast<qsizetype>(size));
    return {};
}

/// Feeds the buffer to the parser until the message is complete, malformed or needs more bytes.
/// Returns whether it is complete.
template <typename Parser>
auto feed(Parser &parser, QByteArray &buf, const HttpBounds &bounds) -> Expected<bool, HttpError>
{
    if (!parser.is_header_done()) {
        const auto head = feedHead(parser, buf, bounds);
        if (!head)
            return tl::unexpected(head.error());
        if (!parser.is_header_done())
            return false;
    }
    while (!parser.is_done() && !buf.isEmpty()) {
        auto ec = boost::system::error_code();
        const auto n = parser.put(
            boost::asio::buffer(buf.constData(), static_cast<std::size_t>(buf.size())), ec);
        buf.remove(0, static_cast<qsizetype>(n));
        if (ec == http::error::need_more)
            break;
        if (ec)
            return tl::unexpected(toError(ec));
        if (n == 0)
            break;
    }
    return parser.is_done();
}

/// Returns whether the message has Content-Length and Transfer-Encoding together, or one of them
/// more than once: the next program on the path may read its length differently.
template <typename Fields>
auto hasAmbiguousLength(const Fields &fields) -> bool
{
    const auto lengthCount = fields.count(http::field::content_length);
    const auto encodingCount = fields.count(http::field::transfer_encoding);
    return lengthCount + encodingCount > 1;
}

auto appendHeaders(std::string &text, std::vector<HttpHeader> headers) -> void
{
    dropHopByHop(headers);
    for (const auto &it : headers)
        text += fmt::format("{}: {}\r\n", it.name, it.value);
}

} // namespace

struct HttpRequestParser::State
{
    using Parser = http::request_parser<http::string_body>;

    HttpBounds bounds;
    std::unique_ptr<Parser> parser;
    QByteArray buf;
    bool isContinueConsumed = false;
    bool isHeadConsumed = false;
};

HttpRequestParser::HttpRequestParser(HttpBounds bounds)
    : m_state(std::make_unique<State>())
{
    m_state->bounds = bounds;
    m_state->parser = makeParser<State::Parser>(bounds);
}

HttpRequestParser::~HttpRequestParser() = default;

auto HttpRequestParser::append(const QByteArray &bytes) -> void
{
    m_state->buf += bytes;
}

auto HttpRequestParser::next() -> Expected<std::optional<Parsed>, HttpError>
{
    const auto isComplete = feed(*m_state->parser, m_state->buf, m_state->bounds);
    if (!isComplete)
        return tl::unexpected(isComplete.error());
    if (m_state->parser->is_header_done() && hasAmbiguousLength(m_state->parser->get()))
        return tl::unexpected(HttpError{HttpError::Kind::Malformed});
    if (!*isComplete)
        return std::nullopt;
    auto message = m_state->parser->release();
    m_state->parser = makeParser<State::Parser>(m_state->bounds);
    m_state->isContinueConsumed = false;
    m_state->isHeadConsumed = false;
    auto parsed = Parsed();
    parsed.isKeepAlive = message.keep_alive();
    parsed.request.method = std::string(message.method_string());
    parsed.request.path = std::string(message.target());
    parsed.request.headers = copyHeaders(message);
    parsed.request.body = std::move(message.body());
    return std::optional(std::move(parsed));
}

auto HttpRequestParser::consumeHead() -> std::optional<HttpRequest>
{
    if (m_state->isHeadConsumed || !m_state->parser->is_header_done())
        return std::nullopt;
    m_state->isHeadConsumed = true;
    const auto &message = m_state->parser->get();
    return HttpRequest{std::string(message.method_string()),
                       std::string(message.target()),
                       copyHeaders(message),
                       {}};
}

auto HttpRequestParser::isMidRequest() const -> bool
{
    return m_state->parser->got_some() || !m_state->buf.isEmpty();
}

auto HttpRequestParser::consumeExpectContinue() -> bool
{
    if (m_state->isContinueConsumed || !m_state->parser->is_header_done())
        return false;
    const auto it = m_state->parser->get().find(http::field::expect);
    if (it == m_state->parser->get().end() || !beast::iequals(it->value(), "100-continue"))
        return false;
    m_state->isContinueConsumed = true;
    return true;
}

auto HttpRequestParser::bufferedBytes() const -> std::size_t
{
    return static_cast<std::size_t>(m_state->buf.size()) + m_state->parser->get().body().size();
}

struct HttpResponseParser::State
{
    using Parser = http::response_parser<http::string_body>;

    auto resetParser() -> void
    {
        parser = makeParser<Parser>(bounds);
        parser->skip(isBodyless);
    }

    HttpBounds bounds;
    std::unique_ptr<Parser> parser;
    QByteArray buf;
    bool isBodyless = false;
};

HttpResponseParser::HttpResponseParser(HttpBounds bounds)
    : m_state(std::make_unique<State>())
{
    m_state->bounds = bounds;
    m_state->resetParser();
}

HttpResponseParser::~HttpResponseParser() = default;

auto HttpResponseParser::expectNoBody() -> void
{
    m_state->isBodyless = true;
    m_state->resetParser();
}

auto HttpResponseParser::hasStarted() const -> bool
{
    return m_state->parser->got_some() || !m_state->buf.isEmpty();
}

auto HttpResponseParser::append(const QByteArray &bytes) -> void
{
    m_state->buf += bytes;
}

auto HttpResponseParser::next() -> Expected<std::optional<Parsed>, HttpError>
{
    while (true) {
        const auto isComplete = feed(*m_state->parser, m_state->buf, m_state->bounds);
        if (!isComplete)
            return tl::unexpected(isComplete.error());
        if (m_state->parser->is_header_done() && hasAmbiguousLength(m_state->parser->get()))
            return tl::unexpected(HttpError{HttpError::Kind::Malformed});
        if (!*isComplete)
            return std::nullopt;
        const auto status = m_state->parser->get().result_int();
        // No request asks for an upgrade, so 101 is not a valid response to one.
        if (status == SwitchingProtocols)
            return tl::unexpected(HttpError{HttpError::Kind::Malformed});
        if (status >= FirstFinalStatus)
            break;
        m_state->resetParser();
    }
    auto message = m_state->parser->release();
    auto parsed = Parsed();
    parsed.isKeepAlive = message.keep_alive();
    parsed.hasBytesLeft = !m_state->buf.isEmpty();
    parsed.response.status = message.result_int();
    parsed.response.headers = copyHeaders(message);
    parsed.response.body = std::move(message.body());
    return std::optional(std::move(parsed));
}

auto HttpResponseParser::endOfStream() const -> HttpError
{
    const auto &parser = *m_state->parser;
    if (parser.is_header_done() && parser.need_eof())
        return {HttpError::Kind::UnknownEnd};
    return {HttpError::Kind::CutShort};
}

auto serializeResponse(const HttpResponse &response, bool isKeepAlive) -> QByteArray
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", response.status,
                            std::string_view(reason.data(), reason.size()));
    appendHeaders(text, response.headers);
    if (!isKeepAlive)
        text += "Connection: close\r\n";
    if (response.status != NoContent)
        text += fmt::format("Content-Length: {}\r\n", response.body.size());
    text += "\r\n";
    text += response.body;
    return QByteArray::fromStdString(text);
}

auto serializeRequest(const HttpRequest &request, std::string_view host) -> QByteArray
{
    auto text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, request.path, host);
    appendHeaders(text, request.headers);
    if (!request.body.empty() || request.method != "GET")
        text += fmt::format("Content-Length: {}\r\n", request.body.size());
    text += "\r\n";
    text += request.body;
    return QByteArray::fromStdString(text);
}

} // namespace shallotproxy
