#include "record.hpp"

namespace review {

void record::write(const std::string& line)
{
    file_ << elapsed_ms() << " ms  " << line << std::endl;
}

std::int64_t record::elapsed_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - started_at_).count();
}

} // namespace review
