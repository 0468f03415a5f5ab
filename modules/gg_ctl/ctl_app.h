#ifndef GG_CTL_CTL_APP_H_
#define GG_CTL_CTL_APP_H_

namespace greengage {

/** Exit codes of greengagectl. */
enum class CtlExitCode {
  kOk = 0,
  kFailed = 1,
  kInvalid = 2,      // invalid arguments or document
  kConflict = 3,     // the section was changed by another edit
  kUnknown = 4,      // the edit may or may not have been accepted
  kUnreachable = 5,  // the store or the daemon does not respond
};

/** Runs the command-line tool and returns its exit code, a CtlExitCode.

    Writes results to standard output and errors to standard error. Blocks until
    the command has finished. */
int RunCtl(int argc, const char* const* argv);

}  // namespace greengage

#endif  // GG_CTL_CTL_APP_H_
