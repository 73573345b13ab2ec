/// \file
/// Options of the address sanitizer for a program that runs where system calls
/// are intercepted.

/// Called by the sanitizer's runtime, which also gives the function its name.
extern "C" const char *__asan_default_options();  // NOLINT
extern "C" const char *__asan_default_options() { // NOLINT
  // Without leak detection, which traces the process, and without a signal
  // stack, which the interception doesn't expect. The quarantine is small so
  // that many processes fit one machine.
  return "detect_leaks=0:use_sigaltstack=0:allow_user_segv_handler=0:"
         "quarantine_size_mb=16";
}
