Feature: Servers that have left get no requests, whatever troubles the store has
  # Guards against: after any failed call to the store, however short, a router that found an entry
  # missing used its server for two more seconds, counted from when that router learned it. Requests
  # reached servers more than 2 s after the store had taken that they leave, also such as had said
  # so: "draining" and the end of the entry in one answer of the store counted as an absence.

  Scenario Outline: A server whose entry goes while the store or its readers are in trouble
    Given 4 routers, whose paths to the store can fail, before 6 engines
    When an engine leaves by way of "<way>", and <trouble>
    Then no request reaches it later than 2 s after the store took that

    Examples:
      | way              | trouble                                          |
      | gone             | the store refuses calls for 0.15 s               |
      | gone             | the store refuses calls for 1 s                  |
      | gone             | the store returns from 2 s away 0.3 s before     |
      | gone             | the store's answers take 1.8 s for a moment      |
      | gone             | all paths to the store are reset for 0.3 s       |
      | gone             | a router is frozen while the store refuses calls |
      | entry, then gone | the store refuses calls for 0.15 s               |
      | entry, then gone | the store's answers take 1.8 s for a moment      |
      | entry            | the store refuses calls for 1 s                  |
      | answer, then gone | all routers but one are frozen for 1.2 s        |

  # Guards against: the few routers that read the store lost their paths to it without a word, and all
  # others, whose paths were sound, sent requests to a server up to 2.9 s after it had left.
  Scenario Outline: A server leaves just after all readers of the store have lost their paths to it
    Given 8 routers, whose paths to the store can fail, before 6 engines
    When an engine leaves by way of "<way>" just after the paths of all readers are <fault>
    Then no router with a path to the store sends to it later than 2 s after that

    Examples:
      | way   | fault  |
      | entry | silent |
      | gone  | silent |
      | gone  | reset  |

  Scenario: A long outage in which all entries lapse keeps nobody from being served
    Given 4 routers, whose paths to the store can fail, before 6 engines
    When the store is away for 5 s, and all engines write their entries again afterwards
    Then requests are served meanwhile, and none is refused for want of a server

  Scenario: For any short outages, servers that have left get no requests
    Then in any history with short outages, no router sends to a server that has left 2 s before

  Scenario: For any long outage, servers that left afterwards or never returned get no requests
    Then in any history with a long outage, no router sends to a server that left after it, or did not return, later than 2 s afterwards

  Scenario: For any long outage, servers whose entries lapsed and return are used throughout
    Then in any history in which all entries lapse in an outage, every request is served

  Scenario: Restarts and lists of peers do not begin the time again in which an entry may return
    Given a fleet that knows 8 servers, and a source that is away for 5 s
    When 6 entries lapse meanwhile and never return, while routers restart in series
    Then no router sends to them later than 2.2 s after the source's return

  # Guards against: an answer of the store that held both a server's "draining" and the end of its
  # entry was applied key by key, so that the word was lost and the server waited for its entry.
  Scenario: A server whose entry said that it leaves and went within one answer is known to leave
    Given a store with entries "a" and "b" that is away for 5 s
    When it reports that "a" said draining and went, and that "b" went
    Then "a" gets no requests, and "b" may return
