// The one buffer of a connection: bytes that came in and are not yet taken. Grows as needed, is
// compacted in place, and gives back what a large message took.
#pragma once
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace dunlinwick::loop {

class Buffer {
 public:
  std::string_view bytes() const {
    return {store_.data() + from_, to_ - from_};
  }
  std::size_t size() const {
    return to_ - from_;
  }

  // Room for at least `n` bytes more; what is written there counts after wrote().
  std::span<char> room(std::size_t n) {
    if (store_.size() - to_ < n && from_ > 0) {
      std::memmove(store_.data(), store_.data() + from_, size());
      to_ -= from_;
      from_ = 0;
    }
    if (store_.size() - to_ < n)
      store_.resize(to_ + n);
    return {store_.data() + to_, store_.size() - to_};
  }
  void Wrote(std::size_t n) {
    to_ += n;
  }

  void Consume(std::size_t n) {
    from_ += n;
    if (from_ < to_)
      return;
    from_ = to_ = 0;
    constexpr std::size_t kSmall =
        1 << 14;  // one read; 256 of these are 4 MB of the 32 that go with them
    if (store_.size() > kSmall)
      std::vector<char>().swap(store_);
  }
  void Release() {
    *this = Buffer();
  }

 private:
  std::vector<char> store_;
  std::size_t from_ = 0;
  std::size_t to_ = 0;
};

}  // namespace dunlinwick::loop
