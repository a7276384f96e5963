#include "beastconversion.h"

#include "headers.h"

namespace Medlar::Http {

namespace beast = boost::beast;

namespace {

constexpr unsigned Http11 = 11;

// Names and values may come from other daemons; a line break in them would start a new header.
bool isSafeHeader(const std::string &name, const std::string &value)
{
    return !name.empty() && name.find_first_of(" \t\r\n:") == std::string::npos
           && value.find_first_of(std::string("\r\n\0", 3)) == std::string::npos;
}

void insertHeaders(beast::http::fields &fields, const Headers &headers)
{
    for (const auto &[name, value] : headers) {
        if (!isHopByHop(name) && isSafeHeader(name, value))
            fields.insert(name, value);
    }
}

} // namespace

Headers endToEndHeaders(const beast::http::fields &fields)
{
    Headers headers;
    const std::string connection(fields[beast::http::field::connection]);
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        // The Connection header may name further headers that concern this connection only.
        if (!isHopByHop(name)
            && (connection.empty() || !beast::http::token_list(connection).exists(name)))
            headers.emplace_back(name, std::string(field.value()));
    }
    return headers;
}

HttpRequest toHttpRequest(ReceivedRequest &&message, bool isFromLoopback, Memory::Charge charge)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[beast::http::field::host]);
    request.headers = endToEndHeaders(message);
    request.body = {std::move(message.body()), std::move(charge)};
    request.isFromLoopback = isFromLoopback;
    return request;
}

HttpResponse toHttpResponse(ReceivedResponse &&message, Memory::Charge charge)
{
    return {static_cast<std::uint16_t>(message.result_int()),
            endToEndHeaders(message),
            {std::move(message.body()), std::move(charge)}};
}

BeastRequest toBeast(const HttpRequest &request, const std::string &host)
{
    BeastRequest message;
    message.version(Http11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(beast::http::field::host, request.host.empty() ? host : request.host);
    insertHeaders(message, request.headers);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

BeastResponse toBeast(HttpResponse &&response, bool keepAlive)
{
    BeastResponse message;
    message.version(Http11);
    message.result(response.status);
    insertHeaders(message, response.headers);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

} // namespace Medlar::Http
