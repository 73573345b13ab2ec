/// \file
/// The record of a run: what was sent, answered and run, with the time since
/// its start.

#ifndef CORIANDERDYKE_REVIEW_RECORD_H
#define CORIANDERDYKE_REVIEW_RECORD_H

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <string>
#include <thread>

namespace review {

/// Milliseconds of the steady clock since the first call.
inline std::int64_t nowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Start)
      .count();
}

inline void sleepMs(std::int64_t Duration) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Duration));
}

class Record {
public:
  explicit Record(const std::string &File) : Out(File) { nowMs(); }

  void write(const std::string &Who, const std::string &What) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Out << std::setw(7) << nowMs() << " ms  " << std::left << std::setw(12)
        << Who << std::right << " " << What << std::endl;
  }

private:
  std::mutex Lock;
  std::ofstream Out;
};

} // namespace review

#endif
