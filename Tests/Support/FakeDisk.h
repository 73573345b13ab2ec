/// \file
/// A disk in memory that forgets what wasn't synced when it crashes.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKEDISK_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKEDISK_H

#include "Storage/Disk.h"

#include <map>

namespace corianderdyke {

class FakeDisk final : public Disk {
public:
  Expected<std::string> read(const std::string &Name) override {
    const auto Found = Files.find(Name);
    if (Found == Files.end())
      return fail(ErrorCode::NotFound, Name);
    return Found->second.Content;
  }

  Expected<void> append(const std::string &Name,
                        const std::string &Bytes) override {
    Files[Name].Content += Bytes;
    return {};
  }

  Expected<void> sync(const std::string &Name) override {
    if (FailSyncs)
      return fail(ErrorCode::System, "sync failed");
    Files[Name].Synced = Files[Name].Content.size();
    return {};
  }

  Expected<void> truncate(const std::string &Name, std::size_t Size) override {
    Files[Name].Content.resize(Size);
    Files[Name].Synced = Size;
    return {};
  }

  Expected<void> writeAtomically(const std::string &Name,
                                 const std::string &Bytes) override {
    Files[Name] = {Bytes, Bytes.size()};
    return {};
  }

  /// Loses power: unsynced bytes are gone but for the first \p Torn.
  void crash(std::size_t Torn = 0) {
    for (auto &[Name, Each] : Files)
      if (Each.Content.size() > Each.Synced + Torn)
        Each.Content.resize(Each.Synced + Torn);
  }

  std::string &content(const std::string &Name) { return Files[Name].Content; }

  bool FailSyncs = false;

private:
  struct File {
    std::string Content;
    std::size_t Synced = 0;
  };
  std::map<std::string, File> Files;
};

} // namespace corianderdyke

#endif
