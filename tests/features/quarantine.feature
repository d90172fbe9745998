Feature: A request under which backend servers end again and again is held back
  # Seen: seven engines ended one after the other, at three routers, in 14 seconds; the callers
  # beside them got broken answers, and one in ten of the others were refused meanwhile.
  # How: one caller's request ended each engine that began to run it, and came again and again
  # under new ids, at any router. Each router sent it on each time, and where its route allowed a
  # second attempt, to a second engine at once.
  # Cause: nothing knew a request by anything but its id, nor told a server that had ended from
  # one that broke an answer off.
  # Proof: here the same request is the only thing that ends engines. Before it was held back,
  # 8 engines had ended after 9 attempts, on a route with one attempt and on one with two.

  @nodes.3.many
  Scenario: A request that ends each engine that runs it reaches few engines
    Given a request "spoilt" ends each engine that begins to run it
    When "dispatch" sends "POST" "/summary/week" with body "spoilt summary" 9 times, in turn
    Then at most 2 engines have ended
    And the last 3 answers say "quarantined" and to come back after 30 seconds or more
    When "dispatch" sends "POST" "/diagnosis/pump" with body "spoilt diagnosis" 9 times, in turn
    Then at most 4 engines have ended
    And the last 3 answers say "quarantined" and to come back after 30 seconds or more
    And "planners" is served at every router

  # Seen: a caller got a 500 that no server had made, and that no log line told of.
  # Cause: the head of a stream is sent with its first piece; a run that broke between the two
  # raised within the body, and the server of callers' connections answered on its own.
  @nodes.3.many
  Scenario Outline: A stream that breaks before its first event is answered with a typed failure
    Given a request "spoilt" ends each engine that begins to run it
    When "dispatch" sends "POST" "<path>" with body "spoilt" 1 times, in turn
    Then the answer is 502, names the attempt and says "backend_broken"

    Examples:
      | path            |
      | /summary/week   |
      | /diagnosis/pump |
