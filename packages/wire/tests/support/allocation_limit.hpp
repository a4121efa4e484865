#pragma once

#include <cstddef>
#include <cstdlib>
#include <new>

namespace papayafall {

/// While an object of this class exists, any allocation of its thread that is larger than the limit
/// throws `std::bad_alloc`.
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

// Replace the allocation functions of the standard library; only one translation unit of a program
// may include this header. They are not inlined, because compilers would then warn about mismatched
// allocation and deallocation.
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
