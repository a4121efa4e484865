#pragma once

#include <cstddef>
#include <cstdlib>
#include <new>

namespace papayafall {

/// While one exists, a single allocation of this thread above the limit throws `std::bad_alloc`.
class allocation_limit {
  public:
    explicit allocation_limit(std::size_t size) noexcept { max_size() = size; }

    allocation_limit(const allocation_limit&) = delete;
    allocation_limit& operator=(const allocation_limit&) = delete;

    ~allocation_limit() { max_size() = unlimited; }

    static std::size_t& max_size() noexcept
    {
        thread_local std::size_t size = unlimited;
        return size;
    }

  private:
    static constexpr std::size_t unlimited = static_cast<std::size_t>(-1);
};

} // namespace papayafall

// One test program includes this header in one translation unit, so that these replace the
// allocation functions of the standard library once. Inlined, they would look mismatched.
// NOLINTBEGIN(misc-definitions-in-headers,cppcoreguidelines-no-malloc)

[[gnu::noinline]] void* operator new(std::size_t size)
{
    void* it = size > papayafall::allocation_limit::max_size() ? nullptr : std::malloc(size);
    if (it == nullptr) {
        throw std::bad_alloc();
    }
    return it;
}

[[gnu::noinline]] void operator delete(void* it) noexcept
{
    std::free(it);
}

[[gnu::noinline]] void operator delete(void* it, std::size_t /*size*/) noexcept
{
    std::free(it);
}

// NOLINTEND(misc-definitions-in-headers,cppcoreguidelines-no-malloc)
