#include "status_output.hpp"

#include <QDateTime>

#include <ostream>

namespace papayafall::detail {

namespace {

using nlohmann::json;

std::string to_text(const json& it)
{
    return it.is_string() ? it.get<std::string>() : it.dump();
}

const char* select_text(const json& condition, const char* if_true, const char* if_false)
{
    return condition.get<bool>() ? if_true : if_false;
}

std::string format_time(std::int64_t unix_ms)
{
    const QDateTime it = QDateTime::fromMSecsSinceEpoch(unix_ms, Qt::UTC);
    return it.toString(Qt::ISODateWithMs).toStdString();
}

void print_revision(std::ostream& out, const json& status)
{
    const json& change = status.at("change");
    out << "  revision " << to_text(status.at("revision"));
    if (status.at("revision") == 0) {
        out << ": no configuration yet\n";
        return;
    }
    out << " since " << format_time(change.at("since_unix_ms").get<std::int64_t>());
    if (change.at("operator").is_string()) {
        out << " by " << to_text(change.at("operator")) << ", plan " << to_text(change.at("plan"));
    }
    out << "\n";
}

void print_queues(std::ostream& out, const json& status)
{
    out << "  tasks queued " << to_text(status.at("queued_tasks")) << ", running "
        << to_text(status.at("running_tasks")) << "; submissions held "
        << to_text(status.at("submissions")) << ", forwarded " << to_text(status.at("forwards"))
        << "\n";
}

void print_seat(std::ostream& out, const json& it)
{
    out << "  seat " << to_text(it.at("seat").at("zone")) << "/"
        << to_text(it.at("seat").at("number")) << ": " << to_text(it.at("phase"))
        << select_text(it.at("homing"), ", homing", "") << "\n";
}

void print_target(std::ostream& out, const json& it)
{
    out << "  target " << to_text(it.at("target")) << ": " << to_text(it.at("stage")) << ", "
        << to_text(it.at("usable_slots")) << " of " << to_text(it.at("slots")) << " slots usable"
        << select_text(it.at("owned"), ", owned", ", of another host") << ", successes "
        << to_text(it.at("successes")) << ", failures " << to_text(it.at("failures")) << "\n";
}

void print_peer(std::ostream& out, const json& it)
{
    out << "  peer " << to_text(it.at("host")) << " in zone " << to_text(it.at("zone"))
        << ": revision " << to_text(it.at("revision")) << ", free slots "
        << to_text(it.at("free_slots")) << ", tasks queued " << to_text(it.at("queued_tasks"))
        << select_text(it.at("leaving"), ", leaving", "") << "\n";
}

} // namespace

json encode_reports(const std::vector<host_report>& reports)
{
    json out = json::array();
    for (const host_report& it : reports) {
        out.push_back({{"host", it.host}, {"status", it.status ? *it.status : json()}});
    }
    return out;
}

void print_report(std::ostream& out, const host_report& report)
{
    if (!report.status) {
        out << report.host << ": no answer\n";
        return;
    }
    const json& status = *report.status;
    const json& self = status.at("self");
    out << report.host << ": host " << to_text(self.at("host")) << " in zone "
        << to_text(self.at("zone")) << ", " << select_text(status.at("ready"), "ready", "not ready")
        << select_text(self.at("leaving"), ", leaving", "") << "\n";
    print_revision(out, status);
    print_queues(out, status);
    for (const json& it : status.at("seats")) {
        print_seat(out, it);
    }
    for (const json& it : status.at("targets")) {
        print_target(out, it);
    }
    for (const json& it : status.at("hosts")) {
        print_peer(out, it);
    }
}

} // namespace papayafall::detail
