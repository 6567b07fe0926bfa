// A keeper's record on disk, by LMDB: each writing call is one transaction that is on the disk when
// it returns. Each entry, and the head, stands behind its digest: an entry that does not fit is
// told as a hole, a head that does not fit is Failed. Full: appended entries would take more than
// `mapBytes` in pages; a quarter more is kept back, so that compaction, heads and healing have room
// to write the pages anew that they free others by. One process at a time. Failed with the path and
// the reason.
#pragma once
#include <memory>
#include <string>

#include "record/disk.hpp"

namespace dunlinwick::store {

class RecordLmdb final : public record::Disk {
 public:
  explicit RecordLmdb(const std::string& folder,
                      std::size_t map_bytes = 64
                                              << 20);  // the folder is made where it is not there
  ~RecordLmdb() override;
  bool Lasts() const override {
    return true;
  }
  std::optional<record::Head> head() override;
  void Each(const std::function<void(record::Offset, const record::Entry*)>& see) override;
  void Write(const record::Head& head) override;
  void append(record::Offset from, const std::vector<record::Entry>& entries,
              const record::Head& head) override;
  void Drop(const std::vector<record::Offset>& gone, const record::Head& head) override;
  void Heal(const record::Entry& entry) override;
  std::size_t PageBytes() const;  // in pages that hold entries and the head

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::store
