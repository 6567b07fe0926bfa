// The receive buffer of a connection: bytes that were received and are not yet consumed. It grows
// as needed, is compacted in place, and holds no memory while it is empty.
#pragma once
#include <algorithm>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace dunlinwick::loop {

class Buffer {
 public:
  std::string_view bytes() const {
    return {storage_.data() + begin_, end_ - begin_};
  }
  std::size_t size() const {
    return end_ - begin_;
  }

  /// The memory that it takes.
  std::size_t capacity() const {
    return storage_.size();
  }

  void Append(std::span<const char> bytes) {
    if (storage_.size() - end_ < bytes.size())
      MakeRoom(bytes.size());
    std::memcpy(storage_.data() + end_, bytes.data(), bytes.size());
    end_ += bytes.size();
  }

  void Consume(std::size_t n) {
    begin_ += n;
    if (begin_ < end_)
      return;
    Release();
  }
  void Release() {
    *this = Buffer();
  }

 private:
  /// Grows by little more than is needed: a front holds hundreds of buffers.
  void MakeRoom(std::size_t n) {
    constexpr std::size_t kMinGrowth = 1 << 12;
    constexpr std::size_t kGrowthShare = 16;  // of its size: long lines are copied seldom
    const std::size_t held = size();
    std::vector<char> grown;
    if (held + n > storage_.size()) {
      const std::size_t growth = std::max(kMinGrowth, held / kGrowthShare);
      grown.resize((held + n + growth - 1) / growth * growth);
      std::copy_n(storage_.data() + begin_, held, grown.data());
      storage_.swap(grown);
    } else {
      std::memmove(storage_.data(), storage_.data() + begin_, held);
    }
    begin_ = 0;
    end_ = held;
  }

  std::vector<char> storage_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace dunlinwick::loop
