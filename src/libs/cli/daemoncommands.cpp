#include "command.h"

#include "configuration/units.h"

#include <cctype>

namespace Medlar::Cli {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusForbidden = 403;
constexpr std::size_t MaxRequestIdBytes = 128;

std::string urlEncoded(const std::string &text)
{
    static constexpr char HexDigits[] = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~' || c == '@'
            || c == '+') {
            result += c;
        } else {
            result += '%';
            result += HexDigits[byte >> 4U];
            result += HexDigits[byte & 0xfU];
        }
    }
    return result;
}

Report answerReport(const CommandContext &context, const std::string &body)
{
    Report report;
    report.add("daemon", context.options.daemon);
    const auto json = nlohmann::ordered_json::parse(body, nullptr, false);
    report.add("answer", json.is_discarded() ? nlohmann::ordered_json(body) : json);
    report.setText(json.is_discarded() ? body : json.dump(2));
    return report;
}

/*! The body of the daemon's answer, if it answers with success. */
tl::expected<std::string, CommandError> fetch(CommandContext &context, const std::string &target)
{
    const auto answer = context.daemon->get(target);
    if (!answer)
        return fail(ExitCode::Unreachable,
                    "daemon " + context.options.daemon + " does not answer: " + answer.error());
    if (answer->status == StatusUnauthorized || answer->status == StatusForbidden)
        return fail(ExitCode::Failed,
                    "daemon " + context.options.daemon + " does not accept the credential");
    if (answer->status != StatusOk)
        return fail(ExitCode::Failed,
                    "daemon " + context.options.daemon + " answers with status "
                        + std::to_string(answer->status),
                    answerReport(context, answer->body));
    return answer->body;
}

CommandResult unusableAnswer(const CommandContext &context, const std::string &body)
{
    return fail(ExitCode::Failed,
                "daemon " + context.options.daemon + " answers with something else than queues",
                answerReport(context, body));
}

} // namespace

CommandResult askDaemon(CommandContext &context, const std::string &target)
{
    auto body = fetch(context, target);
    if (!body)
        return tl::unexpected(std::move(body.error()));
    return answerReport(context, *body);
}

CommandResult runExplain(CommandContext &context)
{
    const auto &arguments = context.arguments;
    if (arguments.size() == 1) {
        if (arguments[0].size() > MaxRequestIdBytes)
            return fail(ExitCode::UsageError, "the request id is too long");
        return askDaemon(context, "/admin/explain?request=" + urlEncoded(arguments[0]));
    }
    const auto slot = Configuration::parseCount(arguments[1]);
    if (arguments[0] != "slot" || !slot)
        return fail(ExitCode::UsageError, "expected REQUEST-ID, or slot NUMBER");
    if (context.options.service.empty())
        return fail(ExitCode::UsageError, "explain slot needs --service");
    return askDaemon(context, "/admin/explain?service=" + urlEncoded(context.options.service)
                                  + "&slot=" + std::to_string(*slot));
}

CommandResult runBacklog(CommandContext &context)
{
    auto answer = fetch(context, "/admin/backlog");
    if (!answer)
        return tl::unexpected(std::move(answer.error()));
    const auto queues = nlohmann::ordered_json::parse(*answer, nullptr, false);
    if (!queues.is_array())
        return unusableAnswer(context, *answer);

    static const std::vector<std::string> columns{"name",      "entries",   "max_entries", "bytes",
                                                  "max_bytes", "oldest_ms", "severity",    "alarm"};
    Report report;
    report.addTable("queues", columns);
    for (const auto &queue : queues) {
        if (!queue.is_object())
            return unusableAnswer(context, *answer);
        std::vector<nlohmann::ordered_json> row;
        row.reserve(columns.size());
        for (const std::string &column : columns)
            row.push_back(queue.value(column, nlohmann::ordered_json()));
        report.addRow(row);
    }
    return report;
}

CommandResult runMetrics(CommandContext &context)
{
    return askDaemon(context, "/metrics");
}

} // namespace Medlar::Cli
