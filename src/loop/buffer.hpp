// The receive buffer of a connection: bytes that were received and are not yet consumed. It grows
// as needed, is compacted in place, and frees the memory that a large message took.
#pragma once
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

  // Writable space for at least `n` more bytes; bytes written there count after Commit().
  std::span<char> Prepare(std::size_t n) {
    if (storage_.size() - end_ < n && begin_ > 0) {
      std::memmove(storage_.data(), storage_.data() + begin_, size());
      end_ -= begin_;
      begin_ = 0;
    }
    if (storage_.size() - end_ < n)
      storage_.resize(end_ + n);
    return {storage_.data() + end_, storage_.size() - end_};
  }
  void Commit(std::size_t n) {
    end_ += n;
  }

  void Consume(std::size_t n) {
    begin_ += n;
    if (begin_ < end_)
      return;
    begin_ = end_ = 0;
    constexpr std::size_t kKeptCapacity =
        1 << 14;  // one read; 256 buffers of this size take 4 MB, of the 32 MB allowed for them
    if (storage_.size() > kKeptCapacity)
      std::vector<char>().swap(storage_);
  }
  void Release() {
    *this = Buffer();
  }

 private:
  std::vector<char> storage_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace dunlinwick::loop
