/// \file
/// Default options of the address sanitizer for runs in which system calls are
/// intercepted.

/// Called by the runtime of the sanitizer, which prescribes the name.
extern "C" const char *__asan_default_options();  // NOLINT
extern "C" const char *__asan_default_options() { // NOLINT
  // Leak detection is off because it traces the process. The signal stack is
  // off because the interception does not support it. The quarantine is small
  // so that one machine can run many processes.
  return "detect_leaks=0:use_sigaltstack=0:allow_user_segv_handler=0:"
         "quarantine_size_mb=16";
}
