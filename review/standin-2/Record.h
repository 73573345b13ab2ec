/// \file
/// What a case writes down: lines with their times, and counts.

#ifndef CORIANDERDYKE_REVIEW_STANDIN2_RECORD_H
#define CORIANDERDYKE_REVIEW_STANDIN2_RECORD_H

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>

namespace review2 {

class Record {
public:
  explicit Record(const std::string &Path)
      : File(std::fopen(Path.c_str(), "w")) {}
  ~Record() {
    if (File != nullptr)
      std::fclose(File);
  }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  bool isOpen() const { return File != nullptr; }

  void line(const std::string &Text) {
    const std::lock_guard<std::mutex> Held(Guard);
    write(Text, File);
  }

  /// Writes a line that is shown, too.
  void say(const std::string &Text) {
    const std::lock_guard<std::mutex> Held(Guard);
    write(Text, File);
    write(Text, stdout);
  }

  void count(const std::string &What) {
    const std::lock_guard<std::mutex> Held(Guard);
    ++Counts[What];
  }

  void writeCounts() {
    const std::lock_guard<std::mutex> Held(Guard);
    for (const auto &[What, Number] : Counts)
      write(std::to_string(Number) + " x " + What, File);
  }

  double seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         Begin)
        .count();
  }

private:
  void write(const std::string &Text, std::FILE *To) const {
    std::fprintf(To, "%8.3f s  %s\n", seconds(), Text.c_str());
    std::fflush(To);
  }

  std::FILE *File;
  std::mutex Guard;
  std::map<std::string, std::uint64_t> Counts;
  std::chrono::steady_clock::time_point Begin =
      std::chrono::steady_clock::now();
};

} // namespace review2

#endif
