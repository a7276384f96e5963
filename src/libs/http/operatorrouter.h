#pragma once

#include "httptypes.h"

#include <map>

namespace Medlar::Http {

/*!
    Endpoints for operators: /healthz, /metrics and everything below /admin. Handlers are registered
   before the first request; they run on the thread of the listener.
*/
class OperatorRouter
{
public:
    /*!
        \a credential is what /admin expects as "Authorization: Bearer CREDENTIAL". When it is
       empty, /admin answers callers on the loopback interface only.
    */
    explicit OperatorRouter(std::string credential) : m_credential(std::move(credential)) {}

    /*! Handles \a path and, when it ends in '/', every path below it. The longest match wins. */
    void addHandler(const std::string &path, RequestHandler handler);

    /*! Whether \a target belongs to operators rather than to callers. */
    static bool isOperatorTarget(std::string_view target);

    void handle(HttpRequest request, const Reply &reply) const;

private:
    bool mayAdminister(const HttpRequest &request) const;
    const RequestHandler *find(const std::string &path) const;

    std::string m_credential;
    std::map<std::string, RequestHandler> m_handlers;
};

} // namespace Medlar::Http
