#include "papayafall/platform/http/platform_token.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <algorithm>
#include <fstream>

namespace papayafall {

namespace {

bool is_visible_ascii(char it)
{
    return it > ' ' && it <= '~';
}

} // namespace

platform_token read_platform_token(const std::string& path, const std::string& setting)
{
    if (path.empty()) {
        return {};
    }
    std::ifstream file(path);
    if (!file) {
        throw configuration_error(error_id::invalid_settings, setting,
                                  "the file '" + path + "' cannot be read");
    }
    std::string line;
    std::getline(file, line);
    if (line.empty() || !std::all_of(line.begin(), line.end(), is_visible_ascii)) {
        throw configuration_error(error_id::invalid_settings, setting,
                                  "the first line of '" + path +
                                      "' is empty or has characters other than visible ASCII");
    }
    return platform_token(std::move(line));
}

} // namespace papayafall
