/// \file
/// What a case writes down: lines in the record of the run, and counts.

#ifndef CORIANDERDYKE_REVIEW_STANDIN2_RECORD_H
#define CORIANDERDYKE_REVIEW_STANDIN2_RECORD_H

#include "../standin/Main.h"

#include <cstdint>
#include <iostream>
#include <map>
#include <mutex>
#include <string>

namespace review2 {

class Record {
public:
  explicit Record(review::Record &Log) : Log(Log) {}

  void line(const std::string &Text) { Log.write("case", Text); }

  /// Writes a line that is shown, too.
  void say(const std::string &Text) {
    line(Text);
    std::cout << Text << std::endl;
  }

  void count(const std::string &What) {
    const std::lock_guard<std::mutex> Held(Guard);
    ++Counts[What];
  }

  void writeCounts() {
    const std::lock_guard<std::mutex> Held(Guard);
    for (const auto &[What, Number] : Counts)
      line(std::to_string(Number) + " x " + What);
  }

private:
  review::Record &Log;
  std::mutex Guard;
  std::map<std::string, std::uint64_t> Counts;
};

} // namespace review2

#endif
