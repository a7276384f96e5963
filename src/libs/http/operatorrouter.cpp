#include "operatorrouter.h"

#include "headers.h"

#include <string_view>

namespace Medlar::Http {

namespace {

constexpr std::string_view AdminPath = "/admin";
constexpr std::string_view Scheme = "Bearer ";

std::string pathOf(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

bool isBelow(std::string_view path, std::string_view folder)
{
    return path.substr(0, folder.size()) == folder
           && (path.size() == folder.size() || path[folder.size()] == '/');
}

HttpResponse error(std::uint16_t status, const std::string &code)
{
    return {status, {{"Content-Type", "application/json"}}, R"({"error":")" + code + "\"}"};
}

} // namespace

void OperatorRouter::addHandler(const std::string &path, RequestHandler handler)
{
    m_handlers[path] = std::move(handler);
}

bool OperatorRouter::isOperatorTarget(std::string_view target)
{
    const std::string path = pathOf(target);
    return isBelow(path, AdminPath) || path == "/healthz" || path == "/metrics";
}

bool OperatorRouter::mayAdminister(const HttpRequest &request) const
{
    if (m_credential.empty())
        return request.isFromLoopback;
    const std::string *const header = findHeader(request.headers, "Authorization");
    if (!header || header->size() < Scheme.size())
        return false;
    const std::string_view text = *header;
    return isSameToken(text.substr(0, Scheme.size()), Scheme)
           && isSameSecret(text.substr(Scheme.size()), m_credential);
}

const RequestHandler *OperatorRouter::find(const std::string &path) const
{
    const auto exact = m_handlers.find(path);
    if (exact != m_handlers.end())
        return &exact->second;
    for (std::size_t slash = path.rfind('/'); slash != std::string::npos && slash != 0;
         slash = path.rfind('/', slash - 1)) {
        const auto folder = m_handlers.find(path.substr(0, slash + 1));
        if (folder != m_handlers.end())
            return &folder->second;
    }
    return nullptr;
}

void OperatorRouter::handle(HttpRequest request, const Reply &reply) const
{
    const std::string path = pathOf(request.target);
    if (isBelow(path, AdminPath) && !mayAdminister(request)) {
        HttpResponse refusal = error(401, "unauthorized");
        refusal.headers.emplace_back("WWW-Authenticate", "Bearer");
        reply(std::move(refusal));
        return;
    }
    const RequestHandler *const handler = find(path);
    if (!handler) {
        reply(error(404, "not-found"));
        return;
    }
    (*handler)(std::move(request), reply);
}

} // namespace Medlar::Http
