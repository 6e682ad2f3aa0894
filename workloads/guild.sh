# Fleet and workload of the Bengal Wok Burner Servicing Guild at its present size;
# variables for scripts/experiment.sh.
export ZONES=kolkata-north,kolkata-south,howrah,durgapur
export ROUTERS=${ROUTERS:-8} ENGINES=${ENGINES:-20} PLAIN_ENGINES=4
export EXTRA_WORKSPACES=${EXTRA_WORKSPACES:-0}
export CHAT_SERVICE=advice PLAIN_SERVICE=booking
export WORKSPACES=technicians:8,restaurants:6,summaries:4,w4:1,w5:1,w6:1,w7:1,w8:1,w9:1,w10:1
ENGINE_SETTINGS="--prefill-us 60 --token-ms 20 --cache-tokens 12000"
LOAD_SETTINGS="--sessions ${SESSIONS:-120} --turns 6 --pause-ms 600 --prompt-words 500 --answer-tokens 20 --seconds ${RUN_SECONDS:-20} --bookings ${BOOKINGS:-10} --engine-churn-ms ${CHURN_MS:-5000}"
