#include <LibHttp/HttpExchange.h>

#include <LibHttp/HttpServerConnection.h>

#include <utility>

namespace chive {

HttpExchange::HttpExchange(HttpServerConnection &connection, ConnectionUse connectionUse)
    : connection_(&connection)
    , connectionUse_(connectionUse)
{}

HttpExchange::~HttpExchange()
{
    respond({500, {}, nullptr});
}

void HttpExchange::respond(const HttpResponse &response)
{
    HttpServerConnection *connection = std::exchange(connection_, nullptr);
    if (connection != nullptr)
        connection->respond(*this, response);
}

void HttpExchange::writeRaw(std::string_view bytes)
{
    if (connection_ != nullptr)
        connection_->writeRaw(bytes);
}

void HttpExchange::abandon()
{
    HttpServerConnection *connection = std::exchange(connection_, nullptr);
    if (connection != nullptr)
        connection->close();
}

void HttpExchange::handleClosed()
{
    if (std::exchange(connection_, nullptr) == nullptr)
        return;
    const auto callback = std::exchange(peerGone_, nullptr);
    if (callback)
        callback();
}

} // namespace chive
