/// \file
/// Reports a fatal signal as one log line before the process ends by it.

#include "App/CrashReport.h"

#include "Logs/LogEvents.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <execinfo.h>
#include <link.h>
#include <string_view>
#include <ucontext.h>
#include <unistd.h>

namespace corianderdyke {

namespace {

/// The innermost calls are reported; outer calls beyond these are omitted.
constexpr int MaxCalls = 40;
constexpr std::size_t MaxModules = 48;
constexpr std::size_t MaxModuleNameBytes = 20;
/// Calls in libraries need up to MaxModuleNameBytes more than others.
constexpr std::size_t MaxLineBytes = 2048;
/// Size of the handler's own stack: the normal one may be exhausted.
constexpr std::size_t StackBytes = 64UL << 10U;
constexpr std::array FatalSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

/// An executable segment of the address space, loaded from one file.
struct Module {
  std::uintptr_t Base = 0;  ///< File offsets are relative to this.
  std::uintptr_t Begin = 0; ///< Of the executable segment.
  std::uintptr_t End = 0;
  /// Empty for the program.
  std::array<char, MaxModuleNameBytes + 1> Name = {};
};

/// Collected at startup: the loader cannot be queried inside a signal handler.
std::array<Module, MaxModules> Modules;
std::size_t ModuleCount = 0;

int addModule(dl_phdr_info *Info, std::size_t, void *) {
  std::string_view Name = Info->dlpi_name;
  Name.remove_prefix(Name.rfind('/') + 1);
  Name = Name.substr(0, std::min(Name.find(".so"), MaxModuleNameBytes));
  for (int Each = 0; Each < Info->dlpi_phnum; ++Each) {
    const ElfW(Phdr) &Segment = Info->dlpi_phdr[Each];
    if (Segment.p_type != PT_LOAD || (Segment.p_flags & PF_X) == 0 ||
        ModuleCount == MaxModules)
      continue;
    Module &Added = Modules[ModuleCount++];
    Added.Base = Info->dlpi_addr;
    Added.Begin = Info->dlpi_addr + Segment.p_vaddr;
    Added.End = Added.Begin + Segment.p_memsz;
    std::copy(Name.begin(), Name.end(), Added.Name.begin());
  }
  return 0;
}

/// A line of bounded length, written without allocation.
class ReportLine {
public:
  void text(std::string_view Value) {
    const std::size_t Fits = std::min(Value.size(), Bytes.size() - Length);
    std::copy_n(Value.begin(), Fits, Bytes.begin() + Length);
    Length += Fits;
  }

  void number(std::uintptr_t Value, unsigned Base) {
    constexpr std::string_view Digits = "0123456789abcdef";
    std::array<char, 20> Reversed = {};
    std::size_t Count = 0;
    do {
      Reversed[Count++] = Digits[Value % Base];
      Value /= Base;
    } while (Value != 0);
    std::reverse(Reversed.begin(), Reversed.begin() + Count);
    text({Reversed.data(), Count});
  }

  void hex(std::uintptr_t Value) {
    text("0x");
    number(Value, 16);
  }

  /// Appends an address as an offset into the file that it was loaded from.
  void code(std::uintptr_t Address) {
    for (std::size_t Each = 0; Each < ModuleCount; ++Each) {
      const Module &In = Modules[Each];
      if (Address < In.Begin || Address >= In.End)
        continue;
      if (In.Name.front() != '\0') {
        text(In.Name.data());
        text("+");
      }
      return hex(Address - In.Base);
    }
    text("?");
    hex(Address);
  }

  void write(int Descriptor) {
    if (Length == Bytes.size())
      --Length;
    text("\n");
    const auto Written = ::write(Descriptor, Bytes.data(), Length);
    static_cast<void>(Written); // A failure cannot be reported.
  }

private:
  std::array<char, MaxLineBytes> Bytes = {};
  std::size_t Length = 0;
};

std::uintptr_t programCounter(const void *Context) {
  const auto &Machine = static_cast<const ucontext_t *>(Context)->uc_mcontext;
#if defined(__x86_64__)
  return static_cast<std::uintptr_t>(Machine.gregs[REG_RIP]);
#elif defined(__aarch64__)
  return static_cast<std::uintptr_t>(Machine.pc);
#else
  static_cast<void>(Machine);
  return 0;
#endif
}

void addCalls(ReportLine &To, std::uintptr_t Counter) {
  std::array<void *, MaxCalls> Calls = {};
  const int Count = backtrace(Calls.data(), MaxCalls);
  const auto End = Calls.begin() + Count;
  // The frames before that of the program counter are the handler's own.
  const auto Found = std::find_if(Calls.begin(), End, [Counter](void *Each) {
    return reinterpret_cast<std::uintptr_t>(Each) == Counter;
  });
  for (auto Each = Found == End ? Calls.begin() : std::next(Found); Each != End;
       ++Each) {
    To.text(" ");
    To.code(reinterpret_cast<std::uintptr_t>(*Each));
  }
}

// Calls only functions that are safe inside a signal handler; backtrace() is
// one once its library is loaded.
void report(int Signal, siginfo_t *Info, void *Context) {
  const std::uintptr_t Counter = programCounter(Context);
  const bool IsJson = writesJsonLogs();
  ReportLine Line;
  Line.text(IsJson ? R"({"event":)" : "error CD");
  Line.number(static_cast<std::uintptr_t>(EventId::Crashed), 10);
  Line.text(IsJson ? R"(,"level":"error","name":"crashed","signal":")"
                   : " crashed signal=\"");
  Line.number(static_cast<std::uintptr_t>(Signal), 10);
  Line.text(IsJson ? R"(","address":")" : "\" address=\"");
  Line.hex(reinterpret_cast<std::uintptr_t>(Info->si_addr));
  Line.text(IsJson ? R"(","counter":")" : "\" counter=\"");
  Line.code(Counter);
  Line.text(IsJson ? R"(","calls":")" : "\" calls=\"");
  addCalls(Line, Counter);
  Line.text(IsJson ? "\"}" : "\"");
  Line.write(STDOUT_FILENO);
  std::signal(Signal, SIG_DFL);
  std::raise(Signal);
}

} // namespace

void installCrashHandler() {
  // The first call loads a library, which a signal handler must not do.
  std::array<void *, 1> Unused = {};
  backtrace(Unused.data(), 1);
  ModuleCount = 0;
  dl_iterate_phdr(addModule, nullptr);
  static std::array<char, StackBytes> Stack;
  stack_t AlternateStack = {};
  AlternateStack.ss_sp = Stack.data();
  AlternateStack.ss_size = Stack.size();
  if (sigaltstack(&AlternateStack, nullptr) != 0)
    return;
  struct sigaction Action = {};
  Action.sa_sigaction = report;
  Action.sa_flags = SA_ONSTACK | SA_SIGINFO;
  for (const int Each : FatalSignals)
    sigaction(Each, &Action, nullptr);
}

} // namespace corianderdyke
