#include "papayafall/wire/http/json_reader.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <set>
#include <string>
#include <vector>

namespace papayafall {

namespace {

using nlohmann::json;

[[noreturn]] void refuse(const std::string& reason)
{
    throw request_error(error_id::malformed_request, "JSON: " + reason);
}

/// Checks the structure of a document while it is parsed.
class structure_check {
  public:
    void on_event(json::parse_event_t event, const json& parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            enter();
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            keys_.pop_back();
            break;
        case json::parse_event_t::key:
            add_key(parsed.get_ref<const std::string&>());
            break;
        case json::parse_event_t::value:
            break;
        }
    }

  private:
    void enter()
    {
        if (keys_.size() == max_json_depth) {
            refuse("nested too deeply");
        }
        keys_.emplace_back();
    }

    void add_key(const std::string& key)
    {
        if (!keys_.back().insert(key).second) {
            refuse("a key appears twice in one object");
        }
    }

    std::vector<std::set<std::string>> keys_; ///< one set for each open array or object
};

} // namespace

nlohmann::json parse_callers_json(std::string_view text)
{
    structure_check check;
    const auto callback = [&check](int, json::parse_event_t event, json& parsed) {
        check.on_event(event, parsed);
        return true;
    };
    try {
        return json::parse(text, callback);
    } catch (const json::exception& e) {
        refuse("not valid (error " + std::to_string(e.id) + ")");
    }
}

} // namespace papayafall
