Feature: A request goes to an engine that can begin its answer soon

  # Load pattern "slots used up at a home": some shared parts are asked for more often than others,
  # and answers hold their slots long, so that homes run out of slots while others have most free.
  # Guards against: requests waited at their home, or were refused there, beside free engines.

  Scenario: Requests leave a home whose slots are used up
    Given 6 routers and 8 engines, whose answers take 0.5 s
    When 180 requests a second share 12 parts unevenly for 6 s
    Then at least 0.99 of them begin in time
    And at most 0.005 of them are refused

  # Load pattern "hot home": half of the requests share one part.

  Scenario: Requests leave the home of a hot part
    Given 6 routers and 8 engines, whose answers take 0.5 s
    When 180 requests a second share 12 parts, half of them the first, for 6 s
    Then at least 0.99 of them begin in time
    And at most 0.01 of them are refused

  Scenario: Requests stay at their home while it can begin them soon
    Given 6 routers and 8 engines, whose answers take 0.1 s
    When 80 requests a second share 12 parts unevenly for 6 s
    Then at least 0.99 of them begin in time
    And at least 0.9 of them run at their home

  Scenario: A waiting request is not passed until its deadline by those of a lower rank
    Given an engine's owner that has queued a request above its share for an early beginning
    When requests within shares come that fill the engine for 2 s
    Then the request is refused within 0.1 s, so that its router asks another engine

  Scenario Outline: A request waits longer where a long part of its prompt is cached
    Given an engine's owner whose engine has 0.3 s to read, and has cached a part of <shared> tokens
    When a request with <part> and an aim of 0.6 s asks for an early beginning
    Then the request for an early beginning is <decision>

    Examples:
      | shared | part         | decision |
      | 5000   | that part    | kept     |
      | 5000   | another part | refused  |
      | 500    | that part    | refused  |

  Scenario: An ejected engine does not name the earliest time
    Given an engine's owner whose engine has 0.3 s to read, and has cached a part of 500 tokens
    And the engine is ejected for 0.1 s
    When a request with that part and an aim of 0.6 s asks for an early beginning
    Then the request for an early beginning is refused
    And its refusal names at least 0.6 s

  Scenario: An engine that is ejected later does not name the earliest time
    Given an engine's owner that has queued a request above its share for an early beginning
    And the engine is ejected for 0.5 s
    Then the request is refused within 0.1 s, so that its router asks another engine
    And its refusal names at least 0.85 s

  Scenario: Requests behind one that leaves its engine stay if they can then be in time
    Given an engine's owner that has queued a prompt of 6000 tokens and 3 of 300 for early beginnings
    When its engine reads 0.35 times as fast as before
    Then only the first of them is refused within 0.1 s

  Scenario: A request that no longer asks for an early beginning replaces the one that did
    Given an engine's owner that has queued a request above its share for an early beginning
    When the request comes again for any beginning, and then twice for an early one
    Then it waits once, for any beginning, from when that was asked
    And the demand for its aim counts its 600 tokens once

  Scenario: Engines that could not be asked for an early beginning are not asked so later
    Given 6 routers and 8 engines, whose answers take 0.1 s
    When an engine refuses an early beginning, and the others that would be asked are not usable
    Then the request asks for no early beginning any more

  Scenario: Without early beginnings a late request waits as before
    Given early beginnings are turned off
    And an engine's owner that has queued a request above its share for an early beginning
    When requests within shares come that fill the engine for 2 s
    Then the request is not refused within 0.1 s

  Scenario Outline: Without early beginnings a request that cannot be in time waits as before
    Given early beginnings are turned <state>
    And an engine's owner whose engine has 0.3 s to read, and has cached a part of 5000 tokens
    When a request with another part and an aim of 0.1 s asks for an early beginning
    Then the request for an early beginning is <decision>

    Examples:
      | state | decision |
      | on    | refused  |
      | off   | kept     |

  # Load pattern "unequal engines": a third of the engines read 0.4 times as fast as the others.

  Scenario: Slow engines are the homes of fewer prompts
    Given routers that weigh engines
    And 6 routers and 9 engines, of which 3 read 0.4 times as fast
    When 350 requests a second share 60 parts evenly for 6 s
    Then all routers give the slow engines half the weight, and the others the same
    And at least 0.98 of them begin in time
    And at most 0.02 of them are refused

  Scenario: Weights are off unless they are asked for
    Given 6 routers and 9 engines, of which 3 read 0.4 times as fast
    When 350 requests a second share 60 parts evenly for 3 s
    Then no router has given an engine a weight of its own

  Scenario: Alike engines keep equal weights when messages are late
    Given routers that weigh engines
    And 6 routers and 10 engines, and messages that take up to 0.04 s
    When 300 requests a second share 60 parts evenly for 6 s
    Then no router has given an engine a weight of its own

  Scenario: Few known engines of a pool give no weights
    When a router hears rates from 6 of 30 engines, half of them 0.4 times as fast
    Then no engine has a weight of its own, and prompts have the homes of before

  Scenario: Weights end when few engines of a pool are left
    When a router hears rates from 6 of 6 engines, half of them 0.4 times as fast
    And 3 of these engines are left
    Then no engine has a weight of its own, and prompts have the homes of before

  Scenario: Engines that differ by the noise of their estimates have equal weights
    When a router hears rates that differ by a factor of 1.3, in 200 random orders
    Then no engine has a weight of its own, and prompts have the homes of before

  Scenario: An engine near the limit between two weights keeps its weight
    When a router hears of an engine that is now 0.66, now 0.75 times as fast as the others
    Then its weight changes at most once

  Scenario: A short slow spell does not change an engine's weight
    When an engine's owner sees it read 0.4 times as fast for 0.6 s of every 3 s, for 30 s
    Then the rate that it sends with grants stays within a factor of 1.45 of the usual one

  Scenario: A change of one weight moves only prompts of that engine
    When one of 30 engines gets half its weight
    Then of 2000 prompts only some of that engine's have another home

  Scenario: A new owner goes on with the average of the one before
    When an owner learns of an engine from its predecessor's estimate
    Then it sends the predecessor's average with its first grant

  Scenario: An estimate without an average changes no weight
    When a router hears rates of 0 from half of the engines
    Then no engine has a weight of its own, and prompts have the homes of before

  Scenario: An owner dies while it is asked for an early beginning
    Given 6 routers and 8 engines, whose answers take 0.1 s
    When a router asks for an early beginning and the engine's owner ends before it answers
    Then the request runs before its deadline

  # Load pattern "slow spells": each engine reads 0.4 times as fast for some time, in turn. Each
  # overdue answer lengthens the forecasts of its engine, so that requests begin elsewhere.

  Scenario Outline: New work goes elsewhere while an engine is slow
    Given 6 routers and 9 engines, each of which reads 0.4 times as fast for <slow> s of every <period> s
    When <rate> requests a second share 60 parts evenly, with an aim of 0.3 s, for 6 s
    Then at least 0.998 of them begin in time
    And at most 0.001 of them are refused

    Examples:
      | slow | period | rate |
      | 0.6  | 3      | 310  |
      | 0.3  | 0.6    | 250  |
      | 0.1  | 0.2    | 250  |

  Scenario: Messages about early beginnings are lost, doubled and reordered
    Given 6 routers and 8 engines, whose answers take 0.5 s, beside lost and doubled messages
    When 180 requests a second share 12 parts, half of them the first, for 6 s
    Then each request is sent to an engine at most once, and ends or is refused
    And at least 0.8 of them begin in time
    And at most 0.1 of them are refused
