/// \file
/// Fuzzes the loading of the disk of a control host: arbitrary bytes as journal
/// and snapshot, and arbitrary records with valid checksums.

#include "Consensus/ReplicatedLog.h"
#include "FakeDisk.h"
#include "FuzzSupport.h"

using namespace corianderdyke;

namespace {

/// Checks that a disk that loads once loads again with the same result.
void loadTwice(FakeDisk &Disk) {
  Journal Records(Disk);
  ReplicatedLog Log(Records);
  if (!Log.load("disk-1"))
    return;
  Journal RecordsAgain(Disk);
  ReplicatedLog Again(RecordsAgain);
  expect(Again.load("disk-2").has_value());
  expect(Again.lastIndex() == Log.lastIndex() && Again.term() == Log.term() &&
         Again.diskId() == Log.diskId() && Again.voters() == Log.voters());
}

/// Splits the input at its first zero byte, which is dropped.
std::pair<std::string, std::string> split(const std::string &Input) {
  const std::size_t At = Input.find('\0');
  if (At == std::string::npos)
    return {Input, ""};
  return {Input.substr(0, At), Input.substr(At + 1)};
}

} // namespace

void fuzzOne(const std::string &Input) {
  if (Input.empty())
    return;
  FakeDisk Raw;
  Raw.content("journal") = Input.substr(1);
  if (Input[0] % 2 != 0)
    Raw.content("snapshot") = split(Input.substr(1)).first;
  loadTwice(Raw);

  FakeDisk Sealed;
  Journal Records(Sealed);
  std::vector<std::string> All;
  // Each record is preceded by one byte with its size.
  for (std::size_t At = 1; At < Input.size();) {
    const auto Size = static_cast<unsigned char>(Input[At]);
    All.push_back(Input.substr(At + 1, Size));
    At += Size + std::size_t(1);
  }
  if (All.empty())
    return;
  const std::string Snapshot = Input[0] % 2 != 0 ? All.back() : std::string();
  const bool Kept = Snapshot.empty()
                        ? Records.append(All).has_value()
                        : Records.replace(Snapshot, All).has_value();
  expect(Kept);
  loadTwice(Sealed);
}
