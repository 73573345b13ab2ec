/// \file
/// A disk in memory that loses unsynced data in a crash.

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
    const bool Lost = losesPower();
    if (!Lost || Operations == PowerLostAt)
      Files[Name].Content += Bytes;
    return outcome(Lost);
  }

  Expected<void> sync(const std::string &Name) override {
    if (FailSyncs) {
      ++FailedSyncs;
      return fail(ErrorCode::System, "sync failed");
    }
    const bool Lost = losesPower();
    if (!Lost)
      Files[Name].Synced = Files[Name].Content.size();
    ++Syncs;
    return outcome(Lost);
  }

  Expected<void> truncate(const std::string &Name, std::size_t Size) override {
    if (FailSyncs)
      return fail(ErrorCode::System, "sync failed");
    const bool Lost = losesPower();
    if (!Lost) {
      Files[Name].Content.resize(Size);
      Files[Name].Synced = Size;
    }
    ++Syncs;
    return outcome(Lost);
  }

  /// Counts as two operations: power may fail before or right after the rename.
  Expected<void> writeAtomically(const std::string &Name,
                                 const std::string &Bytes) override {
    if (losesPower())
      return outcome(true);
    const bool Lost = losesPower();
    Files[Name] = {Bytes, Bytes.size()};
    ++Syncs;
    return outcome(Lost);
  }

  /// Loses power: only the first \p Torn unsynced bytes of each file survive.
  void crash(std::size_t Torn = 0) {
    for (auto &[Name, Each] : Files)
      if (Each.Content.size() > Each.Synced + Torn)
        Each.Content.resize(Each.Synced + Torn);
    PowerLostAt = Never;
  }

  /// Power fails at the \p Count-th operation from now; that operation and all
  /// later ones fail until crash().
  void losePowerAfter(std::size_t Count) {
    if (!hasLostPower())
      PowerLostAt = Operations + Count;
  }
  /// Cancels a power loss that has not happened yet.
  void cancelPowerLoss() {
    if (!hasLostPower())
      PowerLostAt = Never;
  }
  bool hasLostPower() const { return Operations >= PowerLostAt; }
  std::size_t operations() const { return Operations; }
  /// Number of operations that waited until the disk held their bytes.
  std::size_t syncs() const { return Syncs; }

  std::string &content(const std::string &Name) { return Files[Name].Content; }

  bool FailSyncs = false;
  /// Number of syncs that failed because of FailSyncs.
  std::size_t FailedSyncs = 0;

private:
  static constexpr std::size_t Never = ~std::size_t(0);

  bool losesPower() { return ++Operations >= PowerLostAt; }
  static Expected<void> outcome(bool Lost) {
    if (Lost)
      return fail(ErrorCode::System, "power lost");
    return {};
  }

  struct File {
    std::string Content;
    std::size_t Synced = 0;
  };
  std::map<std::string, File> Files;
  std::size_t Operations = 0;
  std::size_t Syncs = 0;
  std::size_t PowerLostAt = Never;
};

} // namespace corianderdyke

#endif
