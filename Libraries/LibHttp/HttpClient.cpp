#include <LibHttp/HttpClient.h>

#include <LibKernel/EventLoop.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <optional>
#include <utility>

namespace chive {

namespace {

constexpr std::size_t maximumIdleConnections = 256;

/// A connection is used again only after it rested between one and two of these, so that a response
/// that the server sends twice shows itself before it could pass for the answer to another request.
constexpr Milliseconds restInterval{25};

HttpClient::RequestId nextRequestId()
{
    static HttpClient::RequestId last = 0;
    return ++last;
}

std::optional<evhttp_cmd_type> commandOf(std::string_view method)
{
    static constexpr std::pair<std::string_view, evhttp_cmd_type> commands[] = {
            {"GET", EVHTTP_REQ_GET},         {"POST", EVHTTP_REQ_POST},
            {"HEAD", EVHTTP_REQ_HEAD},       {"PUT", EVHTTP_REQ_PUT},
            {"DELETE", EVHTTP_REQ_DELETE},   {"PATCH", EVHTTP_REQ_PATCH},
            {"OPTIONS", EVHTTP_REQ_OPTIONS},
    };
    for (const auto &[name, command] : commands) {
        if (name == method)
            return command;
    }
    return std::nullopt;
}

/// RFC 9112 section 6.3: these responses have no body whatever their headers say.
bool hasNoBody(std::string_view method, int status)
{
    return method == "HEAD" || status < 200 || status == 204 || status == 304;
}

HttpResponse readResponse(evhttp_request *request)
{
    HttpResponse response;
    response.status = evhttp_request_get_response_code(request);
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
        response.headers.emplace_back(header->key, header->value);
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    response.body = makeBody(std::move(body));
    return response;
}

} // namespace

struct HttpClient::Connection
{
    evhttp_connection *handle = nullptr;
    std::size_t bytesSent = 0; ///< Of the current request, as taken by the kernel.

    Connection(EventLoop &loop, const Endpoint &server, std::size_t maximumBodySize)
    {
        handle = evhttp_connection_base_new(loop.base(), nullptr, server.ip.c_str(), server.port);
        evhttp_connection_set_max_body_size(handle, static_cast<ev_ssize_t>(maximumBodySize));
        evbuffer *output = bufferevent_get_output(evhttp_connection_get_bufferevent(handle));
        const auto count = [](evbuffer *, const evbuffer_cb_info *info, void *argument) {
            static_cast<Connection *>(argument)->bytesSent += info->n_deleted;
        };
        evbuffer_add_cb(output, count, this);
    }
    ~Connection() { evhttp_connection_free(handle); }

    /// Whether the connection is open and holds no byte. Bytes that nobody asked for, such as a
    /// response sent twice, would be taken for the answer to the next request; and a request on a
    /// connection that the server has closed fails without a word on whether it ran.
    [[nodiscard]] bool isQuiet() const
    {
        bufferevent *buffer = evhttp_connection_get_bufferevent(handle);
        if (evbuffer_get_length(bufferevent_get_input(buffer)) != 0)
            return false;
        char byte = 0;
        const ssize_t size = recv(bufferevent_getfd(buffer), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
};

struct HttpClient::Active
{
    HttpClient *client = nullptr;
    RequestId id = 0;
    std::string method;
    std::unique_ptr<Connection> connection;
    Callback callback;

    void handleResponse(evhttp_request *request)
    {
        if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
            fail("the connection failed before a whole response came");
            return;
        }
        HttpResponse response = readResponse(request);
        const bool isFramed = !findHeader(response.headers, "Content-Length").empty()
                              || !findHeader(response.headers, "Transfer-Encoding").empty();
        if (!isFramed && !hasNoBody(method, response.status)) {
            // The end of such a body is the end of the connection, where a cut looks the same.
            client->finish(id,
                           HttpFailure{HttpFailure::Stage::Incomplete,
                                       "the response has no length and no chunks"},
                           false);
            return;
        }
        const bool closes = isSameHeaderName(findHeader(response.headers, "Connection"), "close");
        client->finish(id, std::move(response), !closes);
    }

    void fail(std::string message)
    {
        const auto stage = connection->bytesSent == 0 ? HttpFailure::Stage::NotSent
                                                      : HttpFailure::Stage::Sent;
        client->finish(id, HttpFailure{stage, std::move(message)}, false);
    }
};

HttpClient::HttpClient(EventLoop &loop, Endpoint server, std::size_t maximumBodySize)
    : loop_(loop)
    , server_(std::move(server))
    , maximumBodySize_(maximumBodySize)
{}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Connection> HttpClient::takeConnection()
{
    // The most recently used connection is the least likely to have been closed by the server.
    while (!idle_.empty()) {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (!connection->isQuiet())
            continue;
        connection->bytesSent = 0;
        return connection;
    }
    return std::make_unique<Connection>(loop_, server_, maximumBodySize_);
}

HttpClient::RequestId HttpClient::send(const HttpRequest &request, Milliseconds timeout,
                                       Callback callback)
{
    const RequestId id = nextRequestId();
    auto owned = std::make_unique<Active>();
    Active *active = owned.get();
    active->client = this;
    active->id = id;
    active->method = request.method;
    active->callback = std::move(callback);
    active->connection = takeConnection();
    active_.emplace(id, std::move(owned));

    const auto command = commandOf(request.method);
    const auto done = [](evhttp_request *response, void *argument) {
        static_cast<Active *>(argument)->handleResponse(response);
    };
    evhttp_request *outgoing = evhttp_request_new(done, active);
    evkeyvalq *headers = evhttp_request_get_output_headers(outgoing);
    evhttp_add_header(headers, "Host", server_.ip.c_str());
    for (const auto &[name, value] : request.headers) {
        if (!isSameHeaderName(name, "Host") && !isSameHeaderName(name, "Connection")
            && !isSameHeaderName(name, "Content-Length")
            && !isSameHeaderName(name, "Transfer-Encoding"))
            evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    const std::string_view body = bytesOf(request.body);
    if (!body.empty()) {
        auto *owner = new std::shared_ptr<const std::string>(request.body);
        const auto release = [](const void *, std::size_t, void *argument) {
            delete static_cast<std::shared_ptr<const std::string> *>(argument);
        };
        evbuffer_add_reference(evhttp_request_get_output_buffer(outgoing), body.data(), body.size(),
                               release, owner);
    }
    evhttp_connection *connection = active->connection->handle;
    const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    evhttp_connection_set_timeout_tv(connection, &limit);
    const bool isStarted
            = command.has_value()
              && evhttp_make_request(connection, outgoing, *command, request.target.c_str()) == 0;
    if (!isStarted) {
        loop_.post([this, id] {
            finish(id, HttpFailure{HttpFailure::Stage::NotSent, "the request cannot be sent"},
                   false);
        });
    }
    return id;
}

void HttpClient::cancel(RequestId id)
{
    const auto found = active_.find(id);
    if (found != active_.end())
        found->second->fail("cancelled");
}

void HttpClient::rest(std::unique_ptr<Connection> connection)
{
    resting_.push_back(std::move(connection));
    if (!restTimer_.isActive())
        restTimer_ = loop_.every(restInterval, [this] { endRest(); });
}

void HttpClient::endRest()
{
    std::move(rested_.begin(), rested_.end(), std::back_inserter(idle_));
    rested_ = std::exchange(resting_, {});
    if (rested_.empty())
        restTimer_.cancel();
}

void HttpClient::finish(RequestId id, Outcome outcome, bool isReusable)
{
    const auto found = active_.find(id);
    if (found == active_.end())
        return;
    std::shared_ptr<Active> active = std::move(found->second);
    active_.erase(found);
    if (isReusable && idle_.size() < maximumIdleConnections)
        rest(std::move(active->connection));
    // evhttp must not lose its connection, nor be called again, inside its own callback.
    loop_.post([active = std::move(active), outcome = std::move(outcome)]() mutable {
        active->connection.reset();
        active->callback(std::move(outcome));
    });
}

} // namespace chive
