#ifndef GG_REQUEST_TARGET_LOAD_H_
#define GG_REQUEST_TARGET_LOAD_H_

namespace greengage {

/** Load that a target reports in a response. */
struct TargetLoad {
  double running = 0;  // requests in its slots
  double waiting = 0;  // requests in its queue
  /** How long work takes on the target's machine now, divided by the usual
      time. Other programs on the machine change it many times per second. */
  double pace = 1;

  double requests() const { return running + waiting; }
};

}  // namespace greengage

#endif  // GG_REQUEST_TARGET_LOAD_H_
