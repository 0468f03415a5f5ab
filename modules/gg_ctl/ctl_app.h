#ifndef GG_CTL_CTL_APP_H_
#define GG_CTL_CTL_APP_H_

namespace greengage {

/** Exit codes of greengagectl. */
enum class CtlExitCode {
  kOk = 0,
  kFailed = 1,
  kInvalid = 2,      // wrong arguments, or a document that is refused
  kConflict = 3,     // somebody else changed the section
  kUnknown = 4,      // whether the edit was accepted is not known
  kUnreachable = 5,  // the store or the daemon does not answer
};

/** Runs the operators' tool with the program's arguments and returns its exit
    code. Results go to standard output, errors to standard error. */
int RunCtl(int argc, const char* const* argv);

}  // namespace greengage

#endif  // GG_CTL_CTL_APP_H_
