Feature: Engines' owners leave gaps in the reading of prompts, so that streams keep their pace

  Scenario: A prompt starts as early as the reading of any time as long as the target allows
    Then for any earlier reading, a prompt that fits starts at the earliest time within all bounds

  Scenario: A prompt longer than the bound allows waits for one gap and no longer
    Given an engine that has read without a break for 0.3 s
    When at most 0.25 s of any 0.3 s may be reading
    Then a prompt of 0.5 s starts 0.05 s later
    And a prompt of 0.1 s starts 0.05 s later

  Scenario: Reading before the first stream began delays nobody
    Given an engine that has read without a break for 0.3 s
    When at most 0.25 s of any 0.3 s may be reading, for streams that began at its end
    Then a prompt of 0.1 s starts at once

  # Load pattern: reading without a break beside streams.
  Scenario: Streams beside uninterrupted reading keep their pace
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    Then without gaps, more than 0.4 of its streams pause for too long
    And with gaps, at most 0.03 of its streams do
    And it reads at least 0.93 of what it reads without gaps

  # Load pattern: short answers among long ones. The only event of a short answer holds few tokens.
  Scenario Outline: Streams beside short answers keep their pace
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    And <part> of the answers have 2 tokens
    Then without gaps, more than 0.3 of its streams pause for too long
    And with gaps, at most 0.03 of the streams of 6 such engines do

    Examples:
      | part |
      | 0.1  |
      | 0.2  |

  Scenario: Only whole runs of several events show the time between events
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    Then releases of <kind> show nothing of the time between events
      | kind                      |
      | a run that failed         |
      | a request withdrawn       |
      | a request not known       |
      | a run with only one pause |
    And the release of a run of several events shows it, once

  # Load pattern: long prompts beside streams. Those longer than the target break streams anyway.
  Scenario: Streams beside long prompts are broken less often
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    When more prompts of about 7000 tokens wait than it can read, a few many times as long
    Then without gaps, more than 0.8 of its streams pause for too long
    And with gaps, at most 0.4 of its streams do
    And it reads at least 0.93 of what it reads without gaps

  # Load pattern: an engine that slows in mid-stream.
  Scenario: An engine that slows in mid-stream reads with gaps until it is fast again
    Given an engine whose events take 0.23 s under reading, with a target of 0.4 s
    When more prompts of about 4000 tokens wait than it can read
    And its steps take twice as long from 6 s to 14 s
    Then without gaps, more than 0.5 of the streams begun in that time pause for too long
    And with gaps, at most 0.1 of them do
    And 12 s after that its reading is not bounded any more
    And its owner has told once that it bounds the reading, and once that it does not

  # Guards against: a belief from a slow spell that stays, or that one report brings back.
  Scenario Outline: After one slow spell an engine with time to spare is soon granted freely again
    Given an engine whose events take <event> s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    And its steps take twice as long from 6 s to 8 s
    Then 12 s after that its reading is not bounded any more
    And its owner has told once that it bounds the reading, and once that it does not

    Examples:
      | event |
      | 0.26  |
      | 0.29  |
      | 0.3   |

  # Guards against: flapping at the limit.
  Scenario Outline: An engine at the limit is bounded and unbounded at most once
    Given an engine whose events take <event> s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    Then its owner has told at most twice whether it bounds the reading

    Examples:
      | event |
      | 0.36  |
      | 0.38  |
      | 0.4   |

  Scenario: An engine whose events stay below the target is granted exactly as before
    Given an engine whose events take 0.23 s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    Then with gaps, the same prompts are granted at the same times as without

  # Guards against: a belief that small errors lift to the target, and gaps for it.
  Scenario Outline: An engine whose pauses stay within 0.9 of the target is granted exactly as before
    Given an engine whose events take <event> s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    Then its owner has learned of pauses near the target
    And with gaps, the same prompts are granted at the same times as without

    Examples:
      | event |
      | 0.28  |
      | 0.3   |
      | 0.33  |
      | 0.35  |

  Scenario: An owner whose streams are not paced learns nothing from reports
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    Then without gaps, its owner has learned nothing of the pace

  Scenario: Only reading within a pause is looked at to learn from it
    Given an engine that has read 0.1 s in each of the last 200 times of 0.2 s
    Then the sum of the reading in the last 0.5 s is 0.3 s, found from at most 4 times of reading

  Scenario: Only reading within the longest pause is looked at to plan more of it
    Given an engine that has read 0.01 s in each of the last 200 times of 0.2 s
    When at most 0.4 s of any 0.5 s may be reading
    Then a prompt of 0.1 s starts at once, found from at most 4 times of reading
    And a plan for a target of 0.4 s holds at most 4 times of reading

  Scenario: Streams without a target are granted exactly as before
    Given an engine whose events take 0.45 s under reading, with a target of 0 s
    When more prompts of about 6000 tokens wait than it can read
    Then with gaps, the same prompts are granted at the same times as without

  Scenario Outline: Streams keep their pace although reports of pauses are <trouble>
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    And reports of pauses are <trouble>
    Then with gaps, at most 0.06 of its streams do
    And it reads at least 0.9 of what it reads without gaps

    Examples:
      | trouble                    |
      | lost, 2 of 3               |
      | late by 0.5 s              |
      | doubled                    |
      | lost, late, doubled by turns |

  # Guards against: an owner that waits for ever for the answer before a gap.
  Scenario: An owner that does not learn of some answers' begins goes on granting
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    And the begins of 0.3 of the answers are not reported
    Then with gaps, at most 0.1 of its streams do
    And it reads at least 0.85 of what it reads without gaps

  # Failure: an owner dies with grants out.
  Scenario: A new owner that is told of the pace keeps it at once
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    And its owner dies at 6 s and a new one takes over
    Then with gaps, at most 0.06 of the streams begun in the 2 s after that do

  # Failure: two owners for a moment.
  Scenario: An old owner that grants on beside the new one for a moment changes nothing lasting
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    And from 6 s to 6.5 s prompts are sent that its owner has not granted
    Then with gaps, at most 0.06 of the streams begun from 7.5 s on do

  Scenario: A new owner learns what its predecessor believed of the pace
    Then a stream pace survives the estimate that goes with each grant
    And an estimate of an owner that bounds no reading changes nothing

  Scenario: A target that no pause comes near any more is forgotten
    Given an owner that bounds the reading for targets of 0.4 and 0.2 s
    When for 12 s all reported pauses are of 0.39 s with a target of 0.4 s
    Then the reading is bounded for the target of 0.4 s alone

  Scenario: Reports that make no sense change nothing
    Then reports of no pause, of no target and of requests that are not known bound no reading

  # Guards against: an owner that a peer's nonsense keeps from granting or from leaving gaps.
  Scenario Outline: What makes no sense in a predecessor's estimate keeps no engine idle
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    When more prompts of about 6000 tokens wait than it can read
    And at 4 s a new owner takes over that is told of <reading> and <idle> ms between events
    And the begins of 0.1 of the answers are not reported from 4 s on
    Then with gaps, at most 0.1 of its streams do
    And it reads at least 0.8 of what it reads without gaps

    Examples:
      | reading    | idle       |
      | 450        | -50        |
      | -450       | 50         |
      | 1000000000 | 50         |
      | 50000      | 50         |
      | 450        | 1000000000 |

  Scenario: A report counts by the target of the request and not by its own
    Given an engine whose events take 0.45 s under reading, with a target of 0.4 s
    Then a reported pause of 0.3 s with a target of 0.01 s makes its stream not late
    And a reported pause of 0.5 s with a target of 9 s makes its stream late
    And reports of requests not known, at an engine that has read, teach its owner nothing

  Scenario: Drawn engines
    Then whatever engine is drawn, fitting prompts break few streams and cost little reading
